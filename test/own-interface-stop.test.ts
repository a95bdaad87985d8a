import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {getApiKey} from '../harness/sheet-text.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {CallerEntry} from './support/caller-entry.js';

const timers = new ClockTimerService();
const request = `POST /v1/services/records/site-history HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${getApiKey('insider')}\r\nContent-Length: 2\r\n\r\n{}`;
/** More than the buffers of a connection hold. */
const largeAnswer = 'x'.repeat(16_000_000);
const conditionTimeoutMs = 10_000;

async function connectTo(t: ExecutionContext, {port}: CallerEntry): Promise<Socket> {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	t.teardown(() => {
		socket.destroy();
	});
	await once(socket, 'connect');
	return socket;
}

async function waitUntil(condition: () => boolean): Promise<void> {
	const deadline = timers.now() + conditionTimeoutMs;
	while (!condition() && timers.now() < deadline) {
		await timers.sleep(10); // eslint-disable-line no-await-in-loop
	}
}

// Guards against replies that are complete for the instance and cut when it stops listening: not all of their bytes had left it.
test('a reply whose caller reads late is in flight until its bytes have left, and is not cut when the instance stops listening (own interface)', async t => {
	const entry = await CallerEntry.start(t);
	entry.plainAnswer = largeAnswer;
	const socket = await connectTo(t, entry);
	socket.write(request);
	await waitUntil(() => entry.startedRequests === 1);
	await timers.sleep(300);
	entry.callers.stopListening();
	await timers.sleep(200);
	t.is(entry.callers.inFlight, 1);
	let bytes = 0;
	let isClosed = false;
	socket.on('close', () => {
		isClosed = true;
	});
	socket.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
	});
	await waitUntil(() => bytes > largeAnswer.length || isClosed);
	t.true(bytes > largeAnswer.length);
	await waitUntil(() => entry.callers.inFlight === 0);
	t.is(entry.callers.inFlight, 0);
});

// Guards against requests that get neither an answer nor a refusal: their connection was taken for idle when the instance stopped listening.
test('a request that has arrived and is not read yet is answered when the instance stops listening (own interface)', async t => {
	const entry = await CallerEntry.start(t);
	const socket = await connectTo(t, entry);
	let received = '';
	let isClosed = false;
	socket.setEncoding('latin1');
	socket.on('data', (text: string) => {
		received += text;
	});
	socket.on('close', () => {
		isClosed = true;
	});
	socket.write(request);
	await waitUntil(() => received.endsWith('{}'));
	await timers.sleep(50);
	received = '';
	socket.write(request);
	entry.callers.stopListening();
	await waitUntil(() => received.endsWith('{}') || isClosed);
	t.regex(received, /^HTTP\/1\.1 200 /v);
});
