import {once} from 'node:events';
import {connect} from 'node:net';
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
const bodyPieces = 4;
const piecePauseMs = 40;
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

// Guards against refusals that are lost with a connection that a stopping instance closes while it is still receiving the request.
test.serial('a request that a stopping instance refuses before its body has arrived gets its refusal when its caller reads after writing', async t => {
	const router = await startRouter(t);
	router.signal('SIGTERM');
	await router.waitUntil(() => router.logLines.some(line => line.includes('process.stopping')));
	const socket = connect({port: router.callersPort, host: '127.0.0.1', noDelay: true});
	const failures: Error[] = [];
	socket.on('error', error => {
		failures.push(error);
	});
	const closed = new Promise<void>(resolve => {
		socket.on('close', () => {
			resolve();
		});
	});
	await once(socket, 'connect');
	socket.write(`POST /lookups/1 HTTP/1.1\r\nhost: site.example\r\nx-api-key: stolen\r\ncontent-length: ${bodyPieces}\r\n\r\n`);
	for (let piece = 0; piece < bodyPieces; piece++) {
		await router.timers.sleep(piecePauseMs); // eslint-disable-line no-await-in-loop
		socket.write('x');
	}

	let text = '';
	socket.on('data', bytes => {
		text += String(bytes);
	});
	await closed;
	t.deepEqual(failures, []);
	t.regex(text, /^HTTP\/1\.1 401 /v);
	t.regex(text, /"execution":"not_run"\}$/v);
});
