import {createServer, type RequestListener} from 'node:http';
import test, {type ExecutionContext} from 'ava';
import {freePort} from '../harness/ports.js';
import {listen} from '../src/network/listen.js';
import {type GossipMessage} from '../src/peers/gossip-message.js';
import {GossipClients} from '../src/peers/gossip-clients.js';
import {HttpClient} from '../src/store/http-client.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';

const timers = new ClockTimerService();
const timeoutMs = 200;
const parts = 10;
const pauseMs = 60;
const message: GossipMessage = {
	from: {id: 'entry-a', availabilityZone: 'zone-a', peers: '127.0.0.1:1'}, tables: {}, updates: {}, reportAges: '', wantsRows: true, loads: [], suspicions: [], ranges: [],
};

/** Sends a body in parts with a pause after each; only some of them if `sentParts` is given. */
function createSlowListener(body: string, sentParts = parts): RequestListener {
	const size = Math.ceil(body.length / parts);
	return (_request, response) => {
		response.writeHead(200, {'content-type': 'application/json', 'content-length': String(body.length)});
		for (let part = 0; part < sentParts; part++) {
			timers.after(part * pauseMs, () => {
				response.write(body.slice(part * size, (part + 1) * size));
			});
		}
	};
}

async function startServer(t: ExecutionContext, listener: RequestListener): Promise<string> {
	const server = createServer(listener);
	const port = await freePort();
	await listen(server, '127.0.0.1', port);
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return `127.0.0.1:${port}`;
}

// Guards against large tables that never get through a slow link, because a call is aborted although its answer is arriving.
test('an answer of another instance that takes longer than the time limit, but keeps arriving, is received', async t => {
	const address = await startServer(t, createSlowListener(JSON.stringify({result: {data: {...message, wantsRows: false}}})));
	const answer = await new GossipClients(timers, timeoutMs).exchange(address, message);
	t.is(answer.from.id, 'entry-a');
});

test('a call to another instance that gets no further part of its answer within the time limit is aborted', async t => {
	const address = await startServer(t, createSlowListener(JSON.stringify({result: {data: message}}), 3));
	const startedAt = timers.now();
	await t.throwsAsync(new GossipClients(timers, timeoutMs).exchange(address, message));
	t.true(timers.now() - startedAt < (3 * pauseMs) + (3 * timeoutMs));
});

// Guards against readers of the store that never get a large row, because their call is aborted although the response is arriving.
test('a response of the store that takes longer than the time limit, but keeps arriving, is received', async t => {
	const address = await startServer(t, createSlowListener(JSON.stringify({rows: ['x'.repeat(1000)]})));
	const client = new HttpClient(`http://${address}`, timeoutMs, timers);
	t.teardown(() => {
		client.close();
	});
	const {status, body} = await client.send('GET', '/rows');
	t.deepEqual([status, body.length], [200, 1013]);
});

test('a call to the store that gets no further part of its response within the time limit fails', async t => {
	const address = await startServer(t, createSlowListener(JSON.stringify({rows: ['x'.repeat(1000)]}), 3));
	const client = new HttpClient(`http://${address}`, timeoutMs, timers);
	t.teardown(() => {
		client.close();
	});
	const startedAt = timers.now();
	await t.throwsAsync(client.send('GET', '/rows'));
	t.true(timers.now() - startedAt < (3 * pauseMs) + (3 * timeoutMs));
});
