import test, {type ExecutionContext} from 'ava';
import {createSiteConfiguration, RouterProcess} from './support/router-process.js';
import {
	otherBehaviours, SilentStream, silenceMs, stageCount, wholeAnswer,
} from './support/silent-stream.js';

/** Within which a server sees that its request was cancelled. */
const cancellationMs = 500;
/** Within which the present attempt would be cancelled for the next one. */
const overlapMs = 50;
/** Between two changes of the configuration. */
const changeIntervalMs = 100;
/** More than the silence of a stage, which delays what arrives at it. */
const settlingMs = silenceMs + 500;

async function startRouter(t: ExecutionContext): Promise<RouterProcess> {
	const router = await RouterProcess.start(stageCount);
	t.teardown(async () => router.stop());
	router.listStageRanges();
	await router.waitUntil(async () => await router.sendForStatus('/drafts/0') === 200);
	return router;
}

async function assertWhole(t: ExecutionContext, stream: SilentStream): Promise<void> {
	const {status, text, isComplete} = await stream.response;
	t.is(status, 200);
	t.is(text, wholeAnswer);
	t.true(isComplete);
}

// Guards against a sound server's answer that is given up for a server that rejects the request.
test.serial('a stream whose first stage is silent for a while is cut off when the only other pipeline rejects it', async t => {
	const router = await startRouter(t);
	const stream = await SilentStream.start(router, '/drafts/1', otherBehaviours.rejecting);
	await assertWhole(t, stream);
	t.true(stream.otherAttempts.length > 0);
	t.deepEqual(stream.silentAttempts.map(({wasAborted}) => wasAborted), [false]);
});

// Guards against events that arrive twice or not at all, and work that goes on, when two servers could answer.
test.serial('a stream that another pipeline takes over has missing or duplicate events, or its silent attempt runs on', async t => {
	const router = await startRouter(t);
	const stream = await SilentStream.start(router, '/drafts/1', otherBehaviours.accepting);
	await assertWhole(t, stream);
	t.is(stream.otherAttempts.length, 1);
	t.is(stream.otherAttempts[0].lastEventId, 1);
	await router.timers.sleep(cancellationMs);
	t.deepEqual(stream.silentAttempts.map(({wasAborted}) => wasAborted), [true]);
});

// Guards against an answer that is given up for a server that accepts the request and sends nothing.
test.serial('a stream whose first stage is silent for a while is given up when the only other pipeline never answers', async t => {
	const router = await startRouter(t);
	const stream = await SilentStream.start(router, '/drafts/1', otherBehaviours.silent);
	await assertWhole(t, stream);
	await router.timers.sleep(cancellationMs);
	t.deepEqual(stream.silentAttempts.map(({wasAborted}) => wasAborted), [false]);
	t.deepEqual(stream.otherAttempts.map(({wasAborted}) => wasAborted), [true]);
});

// Guards against attempts that run on, or are sent, for a caller that has left.
test.serial('a caller leaves while two attempts are under way: an attempt runs on or another one is sent', async t => {
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
