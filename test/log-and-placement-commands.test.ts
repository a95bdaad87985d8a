import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {runProgram} from '../harness/run-command.js';
import {parseLog} from '../src/command/parsed-log.js';
import {explainRequest} from '../src/command/log-commands.js';
import {planPlacement} from '../src/command/placement-commands.js';
import {explainRequestLog} from '../src/command/request-explanation.js';
import {ResultCode} from '../src/results/result-code.js';

const lines = [
	'{"message":"request.accepted","request":"r1","instance":"a","timestamp":"2026-12-04T10:00:00.000Z","route":"drafts"}',
	'  0.1 entry-a {"message":"request.sent","request":"r1","instance":"a","timestamp":"2026-12-04T10:00:00.010Z","pipeline":"s1:0-40,s2:40-80"}',
	'{"message":"server.suspected","server":"s2","instance":"a","timestamp":"2026-12-04T10:00:00.500Z","reason":"s1 waits for it"}',
	'{"message":"server.suspected","server":"s9","instance":"a","timestamp":"2026-12-04T10:00:00.510Z","reason":"not of this request"}',
	'{"message":"request.attempt_failed","request":"r1","server":"s1","instance":"a","timestamp":"2026-12-04T10:00:00.520Z","reason":"s1 waits for it","isRepeated":false}',
	'{"message":"request.failed","request":"r1","instance":"a","timestamp":"2026-12-04T10:00:00.521Z","code":84,"execution":"unknown","reason":"s1 waits for it"}',
	'{"message":"request.answered","request":"r2","instance":"b","timestamp":"2026-12-04T10:00:01.000Z","status":200}',
	'torn {"message":',
];

function save(text: string): string {
	const file = join(mkdtempSync(join(tmpdir(), 'log-')), 'entry.log');
	writeFileSync(file, text);
	return file;
}

test('the explanation of a failed request names the stage that caused the failure', t => {
	const {events, unreadable} = parseLog(lines.join('\n'));
	t.is(unreadable, 1);
	const explanation = explainRequestLog(events, 'r1');
	t.deepEqual(explanation?.decisions.map(({message}) => message), ['request.accepted', 'request.sent', 'request.attempt_failed', 'request.failed']);
	t.deepEqual(explanation?.beliefs.map(({server}) => server), ['s2']);
	t.regex(explanation?.cause ?? '', /^request\.failed, code 84, unknown, s1 waits for it; after request\.attempt_failed at s1.*; while s2 was suspected: s1 waits for it$/v);
});

test('the explanation of a request that was sent to no server includes earlier server suspicions and lost dependencies', t => {
	const {events} = parseLog([
		'{"message":"dependency.lost","dependency":"configuration","instance":"a","timestamp":"2026-12-04T09:59:00.000Z","reason":"503"}',
		'{"message":"dependency.regained","dependency":"configuration","instance":"a","timestamp":"2026-12-04T09:59:01.000Z"}',
		'{"message":"dependency.lost","dependency":"server list","instance":"a","timestamp":"2026-12-04T09:59:50.000Z","reason":"503"}',
		'{"message":"server.suspected","server":"s1","instance":"a","timestamp":"2026-12-04T09:59:58.000Z","reason":"it says that it is leaving"}',
		'{"message":"server.suspected","server":"s1","instance":"b","timestamp":"2026-12-04T09:59:58.000Z","reason":"it says that it is leaving"}',
		'{"message":"server.suspected","server":"s0","instance":"a","timestamp":"2026-12-04T09:59:30.000Z","reason":"long ago"}',
		'{"message":"request.waiting","request":"r3","instance":"a","timestamp":"2026-12-04T10:00:00.000Z"}',
		'{"message":"request.failed","request":"r3","instance":"a","timestamp":"2026-12-04T10:00:01.100Z","code":64,"execution":"not_run","reason":"no pipeline had room in time"}',
	].join('\n'));
	const explanation = explainRequestLog(events, 'r3');
	t.deepEqual(explanation?.beliefs.map(({message, server}) => [message, server]), [['dependency.lost', undefined], ['server.suspected', 's1']]);
	t.regex(explanation?.cause ?? '', /code 64, not_run, no pipeline had room in time.*while s1 was suspected: it says that it is leaving$/v);
});

test('log explain: several files, an unknown id, a file that cannot be read', async t => {
	const files = [save(lines.slice(0, 3).join('\n')), save(lines.slice(3).join('\n'))];
	const {code, text} = await explainRequest('r1', files);
	t.is(code, ResultCode.Success);
	t.regex(text, /Cause: request\.failed/v);
	t.regex(text, /1 lines were unreadable/v);
	const unknown = await explainRequest('r7', files);
	t.is(unknown.code, ResultCode.UsageError);
	t.regex(unknown.text, /no line names request r7; 7 lines were read, 1 were unreadable/v);
	const missing = await explainRequest('r1', ['no-such-file']);
	t.is(missing.code, ResultCode.UsageError);
});

test('the command line accepts log explain with several files', async t => {
	const files = [save(lines.slice(0, 3).join('\n')), save(lines.slice(3).join('\n'))];
	const {code, output} = await runProgram('src/command/main.js', ['log', 'explain', 'r1', ...files]);
	t.is(code, 0);
	t.regex(output, /Cause: request\.failed, code 84/v);
});

test('placement plan: the sample fleet, and a file that is not a fleet description', async t => {
	const {code, text, data} = await planPlacement('samples/fleet.json');
	t.is(code, ResultCode.Success);
	t.regex(text, /^zone-a: \d+ usual requests at once at the scarcest layer, \d+ on average, bound \d+, loss \d+\n/v);
	t.like(data, {zones: [{availabilityZone: 'zone-a'}, {availabilityZone: 'zone-b'}]});
	const wrong = await planPlacement(save('{"model": {}}'));
	t.is(wrong.code, ResultCode.UsageError);
	t.regex(wrong.text, /is not a valid fleet description/v);
});
