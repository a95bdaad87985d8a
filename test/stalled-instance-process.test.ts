import test, {type ExecutionContext} from 'ava';
import {RouterProcess} from './support/router-process.js';

const stallMs = 900;
const leaveAfterMs = 300;
const targets = ['/drafts/1', '/drafts/2', '/lookups/1', '/lookups/2', '/records/1'];

async function startRouter(t: ExecutionContext): Promise<RouterProcess> {
	const router = await RouterProcess.start();
	t.teardown(async () => router.stop());
	// Connections to the servers are kept from now on.
	await router.waitUntil(async () => await router.sendForStatus('/drafts/0') === 200 && await router.sendForStatus('/lookups/0') === 200);
	return router;
}

function countReceived(router: RouterProcess): number {
	return [...router.stages, ...router.records].reduce((sum, {receivedRequests}) => sum + receivedRequests.length, 0);
}

/** Sends requests whose callers leave while the process is stalled. */
async function sendAndLeave(router: RouterProcess): Promise<void> {
	await Promise.allSettled(targets.map(async target => router.send(target, {leaveAfter: leaveAfterMs})));
}

// Guards against requests that reach a server after their callers have left, because the instance read the requests before the closes.
test.serial('requests that arrive at a stalled instance, and whose callers leave meanwhile, reach no server', async t => {
	const router = await startRouter(t);
	const before = countReceived(router);
	router.signal('SIGSTOP');
	await Promise.all([sendAndLeave(router), router.timers.sleep(stallMs)]);
	router.signal('SIGCONT');
	await router.timers.sleep(600);
	t.is(countReceived(router) - before, 0);
	t.is(await router.sendForStatus('/drafts/9'), 200);
});

// Guards against queued requests that are sent after their callers have left, because the queue was checked before the closes were read.
test.serial('queued requests whose callers leave while the instance is stalled reach no server', async t => {
	const router = await startRouter(t);
	for (const stage of router.stages) {
		stage.behaviour.rejectionStatus = 503;
	}

	const left = Promise.allSettled([1, 2, 3].map(async number => router.send(`/drafts/${number}`, {leaveAfter: leaveAfterMs})));
	await router.timers.sleep(leaveAfterMs / 2);
	router.signal('SIGSTOP');
	for (const stage of router.stages) {
		stage.behaviour.rejectionStatus = undefined;
	}

	const before = countReceived(router);
	await Promise.all([left, router.timers.sleep(stallMs)]);
	router.signal('SIGCONT');
	await router.timers.sleep(600);
	t.is(countReceived(router) - before, 0);
	t.is(await router.sendForStatus('/drafts/9'), 200);
});
