import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, createServer as createTcpServer, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {HttpCallerReply} from '../src/entry/http-caller-reply.js';
import {RestReader} from '../src/network/rest-reader.js';
import {listen} from '../src/network/listen.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {getListeningPort} from '../simulators/json-server.js';
import {RouterProcess} from './support/router-process.js';

const timers = new ClockTimerService();
const idPattern = /Siskinnotch-Attempt-Id: (?<id>\S+)/iv;
const pieceBytes = 16_384;

type ReceivedReply = {
	readonly text: string;
	readonly wasReset: boolean;
};

/** Sends a request in a version of HTTP to a server that replies with the function; returns what arrives until the connection ends. */
async function receiveReply(t: ExecutionContext, version: string, write: (reply: HttpCallerReply) => Promise<void>): Promise<ReceivedReply> {
	const server = createServer((message, response) => {
		void write(new HttpCallerReply(message, response, {getReplyHeaders: () => [], shouldCloseConnection: () => false, rests: new RestReader(timers, () => false)}));
	});
	await listen(server, '127.0.0.1', 0);
	t.teardown(() => {
		server.close();
	});
	const socket = connect(getListeningPort(server), '127.0.0.1');
	let text = '';
	let wasReset = false;
	socket.on('data', data => {
		text += data.toString();
	});
	socket.on('error', () => {
		wasReset = true;
	});
	socket.write(`GET / HTTP/${version}\r\nHost: a\r\nConnection: close\r\n\r\n`);
	await once(socket, 'close').catch(() => undefined);
	return {text, wasReset};
}

// Guards against an aborted reply that looks complete: without a length or chunks, the end of its connection is the end of the body.
test('a reply without a length that is aborted does not end as a complete one', async t => {
	const {text, wasReset} = await receiveReply(t, '1.1', async reply => {
		reply.begin(200, ['Content-Type', 'text/plain']);
		reply.write(Buffer.from('half'));
		await timers.sleep(20);
		reply.abort();
	});
	t.regex(text, /transfer-encoding: chunked/iv);
	t.regex(text, /half/v);
	t.notRegex(text, /\r\n0\r\n/v);
	t.false(wasReset);
});

test('a reply without a length that is aborted is reset for a caller that knows no chunks', async t => {
	const {text, wasReset} = await receiveReply(t, '1.0', async reply => {
		reply.begin(200, ['Content-Type', 'text/plain']);
		reply.write(Buffer.from('half'));
		await timers.sleep(20);
		reply.abort();
	});
	t.regex(text, /half/v);
	t.true(wasReset);
});

for (const version of ['1.0', '1.1']) {
	test(`a reply without a length is complete when it has ended (HTTP/${version})`, async t => {
		const {text, wasReset} = await receiveReply(t, version, async reply => {
			reply.begin(200, []);
			reply.write(Buffer.from('whole'));
			reply.end();
		});
		t.regex(text, version === '1.0' ? /\r\n\r\nwhole$/v : /whole\r\n0\r\n\r\n$/v);
		t.false(wasReset);
	});
}

/** A server whose answers have neither a length nor chunks, and never end. */
async function startEndlessServer(t: ExecutionContext): Promise<{readonly port: number; readonly sockets: readonly Socket[]}> {
	const sockets: Socket[] = [];
	const server = createTcpServer(socket => {
		sockets.push(socket);
		const timer = timers.repeat(5, () => {
			if (socket.bytesWritten > 0 && socket.writable) {
				socket.write(Buffer.alloc(pieceBytes, '#'));
			}
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			timer.cancel();
		});
		socket.on('data', data => {
			socket.write(`HTTP/1.1 200 OK\r\nSiskinnotch-Attempt-Id: ${idPattern.exec(data.toString('latin1'))?.groups?.id}\r\nSiskinnotch-Replica-Signature: s\r\n\r\n`);
		});
	});
	await listen(server, '127.0.0.1', 0);
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return {port: getListeningPort(server), sockets};
}

// Guards against a response without an end that is cut at the timeout of its route, and against one that the end of the router cuts: both looked complete.
test.serial('a response without a length whose forwarding ends early does not look complete', async t => {
	const router = await RouterProcess.start();
	t.teardown(async () => router.stop());
	const {port, sockets} = await startEndlessServer(t);
	for (const server of router.records) {
		router.listServer(server, port, 'ready');
	}

	await router.timers.sleep(300);
	for (const path of ['/records/a', '/lookups/a']) {
		const {status, isComplete, text} = await router.send(path); // eslint-disable-line no-await-in-loop
		t.true(status >= 500 || !isComplete, `${path}: ${status}, ${text.length} bytes`);
	}

	const reply = router.send('/records/b');
	await router.waitUntil(() => (sockets.at(-1)?.bytesWritten ?? 0) > 30 * pieceBytes);
	router.signal('SIGKILL');
	const {status, isComplete} = await reply.catch(() => ({status: 502, isComplete: false}));
	t.true(status >= 500 || !isComplete);
});
