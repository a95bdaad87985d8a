import test from 'ava';
import got from 'got';
import {type Cluster, postControl, readControl} from '../harness/cluster.js';
import {callOperation, type PlainResult} from '../harness/plain-caller.js';
import {getActionRowKey} from '../src/actions/action.js';
import {RecordsFault} from '../simulators/records-simulator.js';
import {getApiKey} from '../harness/sheet-text.js';
import {startCluster} from './support/start-cluster.js';

const size = {entries: 2, engines: 0, records: 1};

async function withCluster(work: (cluster: Cluster) => Promise<void>): Promise<void> {
	const cluster = await startCluster(size);
	try {
		await work(cluster);
	} finally {
		await cluster.stop();
	}
}

async function bookRecheck(cluster: Cluster, entry: number, key: string, deadline = 4000): Promise<PlainResult> {
	return callOperation(cluster.entries[entry].callerAddress, 'records/book-recheck', {
		authorization: `Bearer ${getApiKey('large')}`, 'idempotency-key': key, 'x-deadline-ms': String(deadline),
	}, {park: key});
}

async function countExecutions(cluster: Cluster, key: string): Promise<number> {
	const answer = await readControl<{executions: Record<string, number>}>(cluster.backends[0].address, 'executions');
	return answer.executions[key] ?? 0;
}

async function waitForState(cluster: Cluster, key: string, state: string): Promise<void> {
	await cluster.waitFor(async () => {
		const {rows} = await readControl<{rows: Array<{value: string}>}>(cluster.platformAddress, `rows?prefix=${getActionRowKey('large', key)}`);
		return rows.some(({value}) => value.includes(`"state":"${state}"`));
	});
}

test.serial('an instance killed after its claim: another instance takes over the key and the action runs once', async t => {
	await withCluster(async cluster => {
		await postControl(cluster.platformAddress, 'faults', {delay: 400});
		const interrupted = bookRecheck(cluster, 0, 'k');
		await waitForState(cluster, 'k', 'claimed');
		// The write of the next step, already in flight, has no effect.
		await postControl(cluster.platformAddress, 'faults', {isDown: true});
		await cluster.entries[0].program.kill();
		await cluster.timers.sleep(500);
		await postControl(cluster.platformAddress, 'faults', {isDown: false, delay: 0});
		const {status} = await interrupted;
		t.is(status, 0);
		await cluster.waitFor(async () => {
			const {execution} = await bookRecheck(cluster, 1, 'k');
			return execution === 'run';
		});
		t.is(await countExecutions(cluster, 'k'), 1);
	});
});

test.serial('an instance killed after sending: no instance sends again, and the outcome is reported as unknown', async t => {
	await withCluster(async cluster => {
		await postControl(cluster.backends[0].address, 'faults', {delay: 1000});
		const lost = bookRecheck(cluster, 0, 'k');
		await cluster.waitFor(async () => {
			const {running} = await got(`http://${cluster.backends[0].address}/load`, {retry: {limit: 0}}).json<{running: number}>();
			return running > 0;
		});
		await cluster.entries[0].program.kill();
		await lost;
		const again = await bookRecheck(cluster, 1, 'k');
		t.is(again.execution, 'unknown');
		await cluster.timers.sleep(1200);
		t.is(await countExecutions(cluster, 'k'), 1);
	});
});

test.serial('an instance paused past its claim resumes and its conditional write fails', async t => {
	await withCluster(async cluster => {
		await postControl(cluster.platformAddress, 'faults', {delay: 300});
		const paused = bookRecheck(cluster, 0, 'k', 20_000);
		await waitForState(cluster, 'k', 'claimed');
		await postControl(cluster.platformAddress, 'faults', {isDown: true});
		cluster.entries[0].program.sendSignal('SIGSTOP');
		await cluster.timers.sleep(500);
		await postControl(cluster.platformAddress, 'faults', {isDown: false, delay: 0});
		await cluster.waitFor(async () => {
			const {execution} = await bookRecheck(cluster, 1, 'k');
			return execution === 'run';
		});
		cluster.entries[0].program.sendSignal('SIGCONT');
		const woken = await paused;
		t.is(woken.execution, 'run');
		t.is(await countExecutions(cluster, 'k'), 1);
	});
});

test.serial('lost responses to writes that took effect: the action runs once and is answered', async t => {
	await withCluster(async cluster => {
		await postControl(cluster.platformAddress, 'faults', {loseAnswers: 5});
		const result = await bookRecheck(cluster, 0, 'k', 10_000);
		t.is(result.execution, 'run');
		t.is(await countExecutions(cluster, 'k'), 1);
	});
});

test.serial('two instances receive the same key concurrently: the action runs once', async t => {
	await withCluster(async cluster => {
		const keys = Array.from({length: 30}, (_, index) => `k${index}`);
		await Promise.all(keys.flatMap(key => [bookRecheck(cluster, 0, key), bookRecheck(cluster, 1, key)]));
		const counts = await Promise.all(keys.map(async key => countExecutions(cluster, key)));
		t.deepEqual(counts, keys.map(() => 1));
	});
});

test.serial('the table becomes unavailable before the claim, between the steps and after sending', async t => {
	await withCluster(async cluster => {
		await postControl(cluster.platformAddress, 'faults', {isDown: true});
		const before = await bookRecheck(cluster, 0, 'before');
		t.deepEqual([before.execution, before.code], ['not_run', 'PlatformUnavailable']);
		t.true(before.retryAfter > 0);
		await postControl(cluster.platformAddress, 'faults', {isDown: false, delay: 300});
		const between = bookRecheck(cluster, 0, 'between', 1500);
		await waitForState(cluster, 'between', 'claimed');
		await postControl(cluster.platformAddress, 'faults', {isDown: true});
		const {execution: betweenExecution} = await between;
		t.is(betweenExecution, 'not_run');
		t.is(await countExecutions(cluster, 'between'), 0);
		await postControl(cluster.platformAddress, 'faults', {isDown: false, delay: 0});
		await postControl(cluster.backends[0].address, 'faults', {delay: 500});
		const after = bookRecheck(cluster, 0, 'after');
		await waitForState(cluster, 'after', 'sent');
		await postControl(cluster.platformAddress, 'faults', {isDown: true});
		const {execution: afterExecution} = await after;
		t.is(afterExecution, 'run');
		await postControl(cluster.platformAddress, 'faults', {isDown: false});
		await waitForState(cluster, 'after', 'done');
		const repeated = await bookRecheck(cluster, 1, 'after');
		t.is(repeated.execution, 'run');
		t.is(await countExecutions(cluster, 'after'), 1);
	});
});

const faults: ReadonlyArray<[fault: RecordsFault, execution: string, count: number]> = [
	[RecordsFault.ResetAfter, 'unknown', 1],
	[RecordsFault.ResetBefore, 'unknown', 0],
	[RecordsFault.SilentAfter, 'unknown', 1],
	[RecordsFault.SilentBefore, 'unknown', 0],
	[RecordsFault.Refuse, 'not_run', 0],
];

for (const [fault, execution, count] of faults) {
	test.serial(`records answers ${fault}: the execution is ${execution} and nothing is sent twice`, async t => {
		await withCluster(async cluster => {
			await postControl(cluster.backends[0].address, 'faults', {fault, count: 1});
			const result = await bookRecheck(cluster, 0, 'k', 6000);
			t.is(result.execution, execution);
			t.is(await countExecutions(cluster, 'k'), count);
			const again = await bookRecheck(cluster, 1, 'k', 6000);
			t.is(again.execution, execution === 'unknown' ? 'unknown' : 'run');
			t.is(await countExecutions(cluster, 'k'), execution === 'unknown' ? count : 1);
		});
	});
}

test.serial('a records service that refuses connections means not run', async t => {
	await withCluster(async cluster => {
		await cluster.backends[0].program.kill();
		const result = await bookRecheck(cluster, 0, 'k');
		t.is(result.execution, 'not_run');
		t.true(result.retryAfter > 0);
		await cluster.backends[0].restart();
		await cluster.waitFor(async () => {
			const {execution} = await bookRecheck(cluster, 0, 'k');
			return execution === 'run';
		});
		t.is(await countExecutions(cluster, 'k'), 1);
	});
});
