import test, {type ExecutionContext} from 'ava';
import {PartitionKind} from './support/partition.js';
import {createSiteConfiguration, RouterProcess} from './support/router-process.js';
import {
	otherBehaviours, SilentStream, silenceMs, stageCount, wholeAnswer,
} from './support/silent-stream.js';

/** Within which a server sees that its request was cancelled. */
const cancellationMs = 500;
/** Within which the present attempt would be cancelled for the next one. */
const overlapMs = 50;
/** Between two changes of the configuration, or two signals. */
const changeIntervalMs = 100;
/** More than the silence of a stage, which delays what arrives at it. */
const settlingMs = silenceMs + 500;
/** For an instance to notice that it is partitioned. */
const noticeMs = 1500;
const firstVersion = 4;
/** Timeouts of the route of records that the configurations have in turn. */
const recordsTimeoutsMs = [700, 800];

async function startRouter(t: ExecutionContext): Promise<RouterProcess> {
	const router = await RouterProcess.start(stageCount);
	t.teardown(async () => router.stop());
	router.listStageRanges();
	await router.waitUntil(async () => await router.sendForStatus('/drafts/0') === 200);
	return router;
}

function countLines({logLines}: RouterProcess, event: string): number {
	return logLines.filter(line => line.includes(`"${event}"`)).length;
}

/** Disturbs a router at intervals until a stream has ended. */
async function disturb(router: RouterProcess, {response}: SilentStream, act: (round: number) => void): Promise<void> {
	let round = 0;
	const repetition = router.timers.repeat(changeIntervalMs, () => {
		act(round++);
	});
	await response;
	repetition.cancel();
}

/** Starts a router whose configuration leaves records time for a silence and lets no stream resume. */
async function startOneTimeRouter(t: ExecutionContext): Promise<RouterProcess> {
	const router = await startRouter(t);
	const {routes, ...configuration} = createSiteConfiguration(firstVersion, settlingMs);
	const reads = countLines(router, 'catalog.taken');
	router.store.putRow('op', 'config', {...configuration, routes: routes.map(route => ({...route, ...(route.name === 'drafts' && {streamResume: false})}))});
	await router.waitUntil(() => countLines(router, 'catalog.taken') > reads);
	return router;
}

async function assertWhole(t: ExecutionContext, stream: SilentStream): Promise<void> {
	const {status, text, isComplete} = await stream.response;
	t.is(status, 200);
	t.is(text, wholeAnswer);
	t.true(isComplete);
}

// Guards against a sound server's answer that is given up for a server that rejects the request.
test.serial('a stream whose first stage is silent for a while is not cut off when the only other pipeline rejects it', async t => {
	const router = await startRouter(t);
	const stream = await SilentStream.start(router, '/drafts/1', otherBehaviours.rejecting);
	await assertWhole(t, stream);
	t.true(stream.otherAttempts.length > 0);
	t.deepEqual(stream.silentAttempts.map(({wasAborted}) => wasAborted), [false]);
});

// Guards against events that arrive twice or not at all, and work that goes on, when two servers could answer.
test.serial('a stream that another pipeline takes over has no missing or duplicate events, and its silent attempt ends', async t => {
	const router = await startRouter(t);
	const stream = await SilentStream.start(router, '/drafts/1', otherBehaviours.accepting);
	await assertWhole(t, stream);
	t.is(stream.otherAttempts.length, 1);
	t.is(stream.otherAttempts[0].lastEventId, 1);
	await router.timers.sleep(cancellationMs);
	t.deepEqual(stream.silentAttempts.map(({wasAborted}) => wasAborted), [true]);
});

// Guards against an answer that is given up for a server that accepts the request and sends nothing.
test.serial('a stream whose first stage is silent for a while is not given up when the only other pipeline never answers', async t => {
	const router = await startRouter(t);
	const stream = await SilentStream.start(router, '/drafts/1', otherBehaviours.silent);
	await assertWhole(t, stream);
	await router.timers.sleep(cancellationMs);
	t.deepEqual(stream.silentAttempts.map(({wasAborted}) => wasAborted), [false]);
	t.deepEqual(stream.otherAttempts.map(({wasAborted}) => wasAborted), [true]);
});

// Guards against running streams that lose what they need to keep an attempt when the configuration is replaced.
test.serial('while the configuration changes, a stream whose first stage is silent for a while is not cut off when the only other pipeline rejects it', async t => {
	const router = await startRouter(t);
	const stream = await SilentStream.start(router, '/drafts/1', otherBehaviours.rejecting);
	const reads = countLines(router, 'catalog.taken');
	await disturb(router, stream, round => {
		router.store.putRow('op', 'config', createSiteConfiguration(firstVersion + round, recordsTimeoutsMs[round % 2]));
	});
	await assertWhole(t, stream);
	t.true(stream.otherAttempts.length > 0);
	t.true(countLines(router, 'catalog.taken') - reads > 5);
});

// Guards against running streams that lose what they need to keep an attempt when the settings are read again.
test.serial('while the settings are reloaded, a stream whose first stage is silent for a while is not cut off when the only other pipeline rejects it', async t => {
	const router = await startRouter(t);
	const stream = await SilentStream.start(router, '/drafts/1', otherBehaviours.rejecting);
	await disturb(router, stream, round => {
		router.changeSettings(`; ${round}\n`);
		router.signal('SIGHUP');
	});
	await assertWhole(t, stream);
	t.true(stream.otherAttempts.length > 0);
	t.true(countLines(router, 'process.reloaded') > 5);
});

// Guards against a stopping instance that ends streams whose answers are still to come.
test.serial('while the instance stops, a stream whose first stage is silent for a while is not cut off when the only other pipeline rejects it', async t => {
	const router = await startRouter(t);
	const stream = await SilentStream.start(router, '/drafts/1', otherBehaviours.rejecting);
	await router.timers.sleep(changeIntervalMs);
	router.signal('SIGTERM');
	await assertWhole(t, stream);
	t.true(stream.otherAttempts.length > 0);
	t.is(await router.waitForExit(), 0);
});

// Guards against attempts that run on, or are sent, for a caller that has left.
test.serial('when a caller leaves while two attempts are under way, none runs on and no other one is sent', async t => {
	const router = await startRouter(t);
	const stream = await SilentStream.start(router, '/drafts/1', otherBehaviours.silent);
	await stream.waitForOther();
	await router.timers.sleep(overlapMs);
	t.deepEqual(stream.attempts.map(({wasAborted}) => wasAborted), [false, false]);
	stream.leave();
	await stream.response;
	await router.timers.sleep(cancellationMs);
	t.deepEqual(stream.attempts.map(({wasAborted}) => wasAborted), [true, true]);
	await router.timers.sleep(settlingMs);
	t.is(stream.attempts.length, 2);
});

for (const kind of [PartitionKind.Reset, PartitionKind.Silent]) {
	// Guards against attempts through another instance that are given up for a server that rejects the request.
	test.serial(`a stream through another instance (${kind}) is not cut off when its first stage is silent for a while and the only other pipeline rejects it`, async t => {
		const first = await startRouter(t);
		const second = await RouterProcess.startBeside(first, 'entry-b');
		t.teardown(async () => second.stop());
		second.partition(kind);
		await second.timers.sleep(noticeMs);
		await second.waitUntil(async () => await second.sendForStatus('/drafts/0') === 200);
		const stream = await SilentStream.start(second, '/drafts/1', otherBehaviours.rejecting);
		await assertWhole(t, stream);
		t.true(stream.otherAttempts.length > 0);
		t.deepEqual(stream.silentAttempts.map(({wasAborted}) => wasAborted), [false]);
	});
}

// Guards against streams that run twice although their route does not let them resume.
test.serial('a stream that may not resume is neither sent again nor cut off when its first stage is silent for a while', async t => {
	const router = await startOneTimeRouter(t);
	const stream = await SilentStream.start(router, '/drafts/1', otherBehaviours.accepting);
	await assertWhole(t, stream);
	await router.timers.sleep(settlingMs);
	t.deepEqual(stream.attempts.map(({wasAborted}) => wasAborted), [false]);
});

// Guards against records that are written twice because their server was silent for a while.
test.serial('a record is neither sent again nor refused when its server is silent for a while', async t => {
	const router = await startOneTimeRouter(t);
	for (const server of router.records) {
		server.behaviour.pause = silenceMs;
	}

	const {status} = await router.send('/records/1');
	t.is(status, 200);
	await router.timers.sleep(settlingMs);
	t.is(router.records.flatMap(({receivedRequests}) => receivedRequests).length, 1);
});
