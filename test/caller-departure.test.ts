import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {freePort} from '../harness/ports.js';
import {HttpCallerReply} from '../src/entry/http-caller-reply.js';
import {listen} from '../src/network/listen.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';

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
	return {caller, message, reply: new HttpCallerReply(message, response, () => [], () => false)};
}

// Guards against work that goes on because a caller that has stopped reading closes its connection: what it did not read keeps this end open.
test('a caller that closes its connection while its reply is blocked has left', async t => {
	const {caller, reply} = await visit(t);
	let departures = 0;
	reply.onGone(() => {
		departures++;
	});
	caller.pause();
	reply.begin(200, [], true);
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
	reply.begin(200, ['Content-Length', '1'], true);
	reply.write(new Uint8Array(1));
	reply.end();
	await timers.sleep(50);
	t.is(message.socket.listenerCount('end'), listeners);
	caller.end();
	await timers.sleep(100);
	t.is(departures, 0);
});
