import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import anyTest, {type TestFn} from 'ava';
import {type Cluster} from '../harness/cluster.js';
import {callOperation} from '../harness/plain-caller.js';
import {type CommandRun, runCommand, runProgram} from '../harness/run-command.js';
import {ResultCode} from '../src/results/result-code.js';
import {resultTable} from '../src/results/result-table.js';
import {getApiKey} from '../harness/sheet-text.js';
import {sheetText, startCluster} from './support/start-cluster.js';

const test = anyTest as TestFn<{cluster: Cluster; sheet: string}>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion

test.before(async t => {
	const cluster = await startCluster({entries: 1, engines: 1, records: 1});
	const sheet = join(cluster.directory, 'sheet.csv');
	writeFileSync(sheet, sheetText({share: 50}));
	t.context = {cluster, sheet};
});

test.after.always(async t => {
	await t.context.cluster.stop();
});

async function run(cluster: Cluster, ...parameters: readonly string[]): Promise<CommandRun> {
	return runCommand(cluster.entries[0].peerAddress, parameters);
}

test.serial('sheet: check, diff, submit, show and history', async t => {
	const {cluster, sheet} = t.context;
	const check = await run(cluster, 'sheet', 'check', sheet);
	t.regex(check.output, /3 workspaces, 2 services, .* no problems/v);
	const diff = await run(cluster, 'sheet', 'diff', sheet);
	t.regex(diff.output, /against version 1:\nchange workspace\/large/v);
	const submit = await run(cluster, 'sheet', 'submit', sheet, '--seen', '1', '--planner', 'ann');
	t.regex(submit.output, /is accepted as version 2; in force at 1 of 1 instances/v);
	const again = await run(cluster, 'sheet', 'submit', sheet, '--seen', '1', '--planner', 'ann');
	t.regex(again.output, /was in force already as version 2/v);
	const show = await run(cluster, 'sheet', 'show', '--json');
	t.is((JSON.parse(show.output) as {version: number}).version, 2); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	const history = await run(cluster, 'sheet', 'history');
	t.regex(history.output, /2 +\S+ +ann +1 +0/v);
});

test.serial('sheet: an invalid file and a version conflict have their own exit codes', async t => {
	const {cluster, sheet} = t.context;
	const faulty = join(cluster.directory, 'faulty.csv');
	writeFileSync(faulty, readFileSync(sheet, 'utf8').replace('normal', 'urgent'));
	const check = await run(cluster, 'sheet', 'check', faulty);
	t.is(check.code, resultTable[ResultCode.SheetInvalid].exitCode);
	t.regex(check.errors, /faulty\.csv:2: priority: "urgent"/v);
	writeFileSync(faulty, sheetText({share: 41}));
	const conflict = await run(cluster, 'sheet', 'submit', faulty, '--seen', '0', '--json');
	t.is(conflict.code, resultTable[ResultCode.SheetConflict].exitCode);
	t.regex(conflict.output, /"name":"SheetConflict"/v);
});

test.serial('workspace, instance, route and action', async t => {
	const {cluster} = t.context;
	await callOperation(cluster.entries[0].callerAddress, 'records/book-recheck', {authorization: `Bearer ${getApiKey('large')}`, 'idempotency-key': 'k'}, {});
	const list = await run(cluster, 'workspace', 'list');
	t.regex(list.output, /small +normal +10% +600 +2/v);
	const usage = await run(cluster, 'workspace', 'usage', '--json');
	t.is(usage.code, 0);
	const instances = await run(cluster, 'instance', 'list');
	t.regex(instances.output, /entry-a +\S+ +alive/v);
	const route = await run(cluster, 'route', 'explain', 'findings');
	t.regex(route.output, /route: engine-0a \[0-8\) -> engine-8a \[8-16\) -> engine-16a \[16-24\)/v);
	const unknown = await run(cluster, 'route', 'explain', 'poems');
	t.is(unknown.code, resultTable[ResultCode.ModelUnknown].exitCode);
	const action = await run(cluster, 'action', 'lookup', 'k', '--workspace', 'large');
	t.regex(action.output, /k of large: done, held by entry-a/v);
	const none = await run(cluster, 'action', 'lookup', 'none', '--workspace', 'large');
	t.is(none.code, resultTable[ResultCode.ActionUnknown].exitCode);
});

test.serial('key create prints a key and its digest in the form used by sheets', async t => {
	const {output} = await run(t.context.cluster, 'key', 'create', '--json');
	const {key, digest} = JSON.parse(output) as {key: string; digest: string}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	t.regex(key, /^sk-sn-[\w\-]{43}$/v);
	t.regex(digest, /^[\da-f]{64}$/v);
});

test.serial('a wrong secret and an unknown command have their own exit codes', async t => {
	const wrong = await runCommand(t.context.cluster.entries[0].peerAddress, ['sheet', 'show'], 'wrong-secret-of-length');
	t.is(wrong.code, resultTable[ResultCode.PeerUnauthorized].exitCode);
	const command = await run(t.context.cluster, 'sheet', 'burn');
	t.is(command.code, resultTable[ResultCode.UsageError].exitCode);
});

const commands = [
	'sheet check',
	'sheet submit',
	'sheet diff',
	'sheet show',
	'sheet history',
	'workspace list',
	'workspace usage',
	'instance list',
	'instance drain',
	'route explain',
	'action lookup',
	'key create',
];

for (const command of commands) {
	test(`${command} --help has an example`, async t => {
		const {code, output} = await run(t.context.cluster, ...command.split(' '), '--help');
		t.is(code, 0);
		t.regex(output, /Examples:/v);
	});
}

test('the daemon checks its settings and exits with the exit code of the problem', async t => {
	const {cluster} = t.context;
	const {settingsFile} = cluster.entries[0];
	const good = await runProgram('src/daemon.js', ['--settings', settingsFile, '--check']);
	t.is(good.code, 0);
	const faulty = join(cluster.directory, 'faulty.ini');
	writeFileSync(faulty, `${readFileSync(settingsFile, 'utf8')}\n[limits]\nbody = 5 ms\n`);
	const bad = await runProgram('src/daemon.js', ['--settings', faulty]);
	t.is(bad.code, resultTable[ResultCode.SettingsInvalid].exitCode);
	t.regex(bad.errors, /faulty\.ini: \[limits\] body: found "5 ms"/v);
	const missing = await runProgram('src/daemon.js', ['--settings', join(cluster.directory, 'none.ini')]);
	t.is(missing.code, resultTable[ResultCode.SettingsMissing].exitCode);
	const taken = await runProgram('src/daemon.js', ['--settings', settingsFile]);
	t.is(taken.code, resultTable[ResultCode.AddressUnavailable].exitCode);
});
