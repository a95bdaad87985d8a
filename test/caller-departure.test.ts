import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import process from 'node:process';
import test, {type ExecutionContext} from 'ava';
import {freePort} from '../harness/ports.js';
import {getApiKey} from '../harness/sheet-text.js';
import {HttpCallerReply} from '../src/entry/http-caller-reply.js';
import {RestReader} from '../src/network/rest-reader.js';
import {listen} from '../src/network/listen.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {CallerEntry} from './support/caller-entry.js';

const timers = new ClockTimerService();
/** More than the buffers of a connection hold. */
const largeReply = new Uint8Array(32_000_000);

type Visit = {
	readonly caller: Socket;
	readonly reply: HttpCallerReply;
	readonly message: IncomingMessage;
};

/** Connects a caller that sends a request; returns the reply to it. */
async function visit(t: ExecutionContext): Promise<Visit> {
	let accept: (arrival: readonly [IncomingMessage, ServerResponse]) => void;
	const arrived = new Promise<readonly [IncomingMessage, ServerResponse]>(resolve => {
		accept = resolve;
	});
	const server = createServer((request, response) => {
		request.resume();
		accept([request, response]);
	});
	const port = await freePort();
	await listen(server, '127.0.0.1', port);
	const caller = connect(port, '127.0.0.1');
	caller.on('error', () => undefined);
	t.teardown(() => {
		caller.destroy();
		server.close();
		server.closeAllConnections();
	});
	caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	const [message, response] = await arrived;
	return {caller, message, reply: new HttpCallerReply(message, response, {getReplyHeaders: () => [], shouldCloseConnection: () => false, rests: new RestReader(timers, () => false)})};
}

// Guards against work that goes on because a caller that has stopped reading closes its connection: what it did not read keeps this end open.
test('a caller that closes its connection while its reply is blocked has left', async t => {
	const {caller, reply} = await visit(t);
	let departures = 0;
	reply.onGone(() => {
		departures++;
	});
	caller.pause();
	reply.begin(200, []);
	t.false(reply.write(largeReply));
	await timers.sleep(50);
	t.is(departures, 0);
	caller.end();
	await timers.sleep(300);
	t.is(departures, 1);
	t.true(reply.isGone);
});

test('a reply that has ended has no caller to lose, and leaves nothing on the connection', async t => {
	const {caller, reply, message} = await visit(t);
	caller.resume();
	let departures = 0;
	const listeners = message.socket.listenerCount('end');
	reply.onGone(() => {
		departures++;
	});
	reply.begin(200, ['Content-Length', '1']);
	reply.write(new Uint8Array(1));
	reply.end();
	await timers.sleep(50);
	t.is(message.socket.listenerCount('end'), listeners);
	caller.end();
	await timers.sleep(100);
	t.is(departures, 0);
});

// Guards against requests that are started after their callers have left, because the instance read the requests before the closes.
test('requests of callers that left while the process was stalled are not started (own interface)', async t => {
	const entry = await CallerEntry.start(t);
	const call = (path: string, body: string) => `POST /v1/${path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${getApiKey('insider')}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
	const requests = [call('services/records/site-history', '{}'), call('chat/completions', JSON.stringify({model: 'findings', messages: [{role: 'user', content: 'x'}]}))];
	const script = `process.once('message', requests => {
		for (const request of requests) {
			const socket = require('net').connect(${entry.port}, '127.0.0.1', () => { socket.write(request); setTimeout(() => { socket.destroy(); }, 100); });
		}
	}); process.send('ready');`;
	const callers = spawn(process.execPath, ['-e', script], {stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
	t.teardown(() => callers.kill('SIGKILL'));
	await once(callers, 'message');
	callers.send(requests);
	await timers.sleep(0);
	const end = timers.now() + 500;
	while (timers.now() < end) {
		// Nothing else runs meanwhile.
	}

	await timers.sleep(200);
	t.is(entry.startedRequests, 0);
	const served = await entry.send({path: 'services/records/site-history', workspace: 'insider', body: '{}'});
	t.is(served.status, 200);
	t.is(entry.startedRequests, 1);
});
