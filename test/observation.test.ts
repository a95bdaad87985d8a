import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {Writable} from 'node:stream';
import test from 'ava';
import * as z from 'zod';
import {CounterLog} from '../src/observation/counter-log.js';
import {DependencyMonitor} from '../src/observation/dependency-monitor.js';
import {createStructuredLog} from '../src/observation/log.js';
import {DecisionLog} from '../src/observation/decision-log.js';
import {Metrics} from '../src/observation/metrics.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {RecordingLog} from './support/sample-fleet.js';

test('a log reader that stops reading does not block the process: lines are dropped and counted', async t => {
	const child = spawn(process.execPath, [new URL('support/log-flood.js', import.meta.url).pathname], {stdio: ['ignore', 'pipe', 'pipe']});
	t.teardown(() => child.kill('SIGKILL'));
	// The standard output of the child is never read.
	let report = '';
	child.stderr.setEncoding('utf8');
	child.stderr.on('data', (text: string) => {
		report += text;
	});
	const [code] = await once(child, 'exit') as [number]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	t.is(code, 0);
	const {turns, dropped} = z.object({turns: z.number(), dropped: z.number()}).parse(JSON.parse(report));
	t.true(turns > 0, 'the event loop keeps running');
	t.true(dropped > 10_000, `${dropped} dropped`);
});

test('lines of one event type are rate-limited and the suppressed ones counted; warnings have a higher limit', t => {
	const timers = new ManualTimerService();
	const written: string[] = [];
	const stream = new Writable({
		write(chunk: unknown, _encoding, done) {
			written.push(String(chunk));
			done();
		},
	});
	const logger = createStructuredLog('info', stream, 'entry-a');
	const log = new DecisionLog(logger, timers, {perSecond: 10, burst: 20});
	for (let line = 0; line < 200; line++) {
		log.write('request.accepted', {line});
		log.warn('request.failed', {line});
	}

	const count = (kind: string) => written.filter(line => line.includes(`"message":"${kind}"`)).length;
	t.is(count('request.accepted'), 20);
	t.is(count('request.failed'), 80);
	timers.advance(1000);
	log.write('request.accepted', {line: 201});
	t.like(JSON.parse(written.at(-1)!), {message: 'request.accepted', suppressed: 180, instance: 'entry-a'});
});

test('repeated failures of a dependency are logged as one loss and one recovery', t => {
	const log = new RecordingLog();
	const dependency = new DependencyMonitor('server list', log);
	dependency.recordSuccess();
	dependency.recordFailure(new Error('no answer'), {version: 3});
	dependency.recordFailure(new Error('no answer'), {version: 3});
	dependency.recordSuccess({version: 4});
	dependency.recordSuccess({version: 4});
	t.deepEqual(log.lines, [
		{kind: 'dependency.lost', fields: {dependency: 'server list', reason: 'no answer', version: 3}},
		{kind: 'dependency.regained', fields: {dependency: 'server list', version: 4}},
	]);
});

// Guards against logs that do not tell what the connections of an instance are opened for.
test('the growth of the chosen counters is logged at intervals, by label', t => {
	const timers = new ManualTimerService();
	const metrics = new Metrics();
	const log = new RecordingLog();
	new CounterLog(new Set(['connections']), metrics, log).start(timers, 2000);
	timers.advance(2000);
	metrics.count('connections', 3, {purpose: 'request'});
	metrics.count('connections', 1, {purpose: 'query'});
	metrics.count('others');
	timers.advance(2000);
	metrics.count('connections', 2, {purpose: 'request'});
	timers.advance(2000);
	t.deepEqual(log.lines.map(({kind, fields}) => [kind, Object.entries(fields)]), [
		['counters.grown', [['connections{purpose="request"}', 3], ['connections{purpose="query"}', 1]]],
		['counters.grown', [['connections{purpose="request"}', 2]]],
	]);
});
