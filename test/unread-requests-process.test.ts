import test, {type ExecutionContext} from 'ava';
import {RecordedConnection} from './support/recorded-connection.js';
import {type RequestLife} from './support/request-life.js';
import {
	Ending, PlannedRoute, Reading, type RequestPlan,
} from './support/request-plan.js';
import {RouterProcess} from './support/router-process.js';

/** Beyond the notice period of a stop. */
const beforeStallMs = 250;
const stallMs = 600;
/** For which a request keeps the stop from ending, until within the stall. */
const answerPauseMs = 500;
/** More than the turns of the event loop that a deferred call waits for. */
const connectionCount = 8;
const plan: RequestPlan = {
	id: 'r-0',
	route: PlannedRoute.Lookup,
	path: '/lookups/r-0/0',
	key: 'key-1',
	body: 'prompt',
	pieces: 1,
	deadlineMs: 5000,
	reading: Reading.Steady,
	ending: Ending.Stays,
	answerBytes: 0,
	pauseMs: 0,
};

async function startRouter(t: ExecutionContext): Promise<RouterProcess> {
	const router = await RouterProcess.start();
	t.teardown(async () => router.stop());
	for (const server of router.records) {
		server.behaviour.pause = answerPauseMs;
	}

	return router;
}

async function sendOnce(router: RouterProcess, request: RequestPlan): Promise<RequestLife> {
	const connection = await RecordedConnection.open(router.callersPort, 'instance', router.timers);
	return connection!.send(request);
}

async function sendAll(router: RouterProcess): Promise<readonly RequestLife[]> {
	return Promise.all(Array.from({length: connectionCount}, async (_value, index) => sendOnce(router, {...plan, id: `r-${index + 1}`})));
}

// Guards against connections that a planned stop leaves in the queue of its listener, with requests, because the instance stood still when they were opened.
test.serial('requests on connections that are opened while a stopping instance stands still get replies', async t => {
	const router = await startRouter(t);
	const last = sendOnce(router, plan);
	await router.waitUntil(() => router.records.some(({receivedRequests}) => receivedRequests.length > 0));
	router.signal('SIGTERM');
	await router.timers.sleep(beforeStallMs);
	router.signal('SIGSTOP');
	const sending = sendAll(router);
	await router.timers.sleep(stallMs);
	router.signal('SIGCONT');
	const lives = await sending;
	t.deepEqual(lives.map(({status, isComplete}) => [status, isComplete]), lives.map(() => [503, true]));
	const {status} = await last;
	t.is(status, 200);
	t.is(await router.waitForExit(), 0);
});
