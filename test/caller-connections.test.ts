import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {freePort} from '../harness/ports.js';
import {PlatformCodec} from '../platform/platform-codec.js';
import {ConnectionLog} from '../src/entry/connection-log.js';
import {CallerServer} from '../src/network/caller-server.js';
import {listen} from '../src/network/listen.js';
import {Metrics} from '../src/observation/metrics.js';
import {type CallerReply} from '../src/relay/caller-reply.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {type TimerService} from '../src/time/timer-service.js';
import {createCallerIntake} from './support/caller-intake.js';
import {EntryFixture, type CallerSocket} from './support/entry-fixture.js';
import {RecordingLog} from './support/sample-fleet.js';

const request = 'GET /drafts/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\n\r\n';
const emptyAnswer = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n';
/** Beyond the idle time, with what the runtime adds to it. */
const stallMs = 1500;
/** More than the buffers of a connection hold. */
const largeReply = new Uint8Array(16_000_000);

// Guards against accepted or refused requests without a trace: a request that ends because its caller seems to have left had no line.
test('a caller that closes its end after its request is logged as having left, and how', async t => {
	const entry = await EntryFixture.start(t, {
		answer() {
			t.fail('the request was started');
		},
	});
	const {socket} = await entry.connect();
	socket.end(request);
	t.like(await entry.waitForLine('request.left'), {
		request: 'r1', attempts: 0, isStarted: false, isEndedByCaller: true,
	});
	t.like(await entry.waitForLine('reply.lost'), {request: 'r1', loss: 'unanswered'});
	t.is(entry.metrics.getCount('siskinnotch_requests_left_early'), 1);
	t.is(entry.metrics.getCount('siskinnotch_replies_lost', {loss: 'unanswered'}), 1);
});

// Guards against refusals in the log that no caller has received.
test('the log of a refusal says whether it was sent', async t => {
	const entry = await EntryFixture.start(t);
	const leaving = await entry.connect();
	leaving.socket.write('POST /drafts/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nContent-Length: 100\r\n\r\nx');
	await entry.waitUntil(() => entry.server.pendingRequests === 1);
	leaving.socket.destroy();
	t.like(await entry.waitForLine('request.refused'), {request: 'r1', isSent: false});
	entry.lifecycle.refuseRequests();
	const staying = await entry.connect();
	staying.socket.write(request);
	await entry.waitUntil(() => staying.received.startsWith('HTTP/1.1 503 '));
	t.like(entry.log.lines.findLast(({kind}) => kind === 'request.refused')?.fields, {request: 'r1', isSent: true});
});

// Guards against connections that end without a trace because what arrived is no request.
test('input that is no request is answered, counted and logged', async t => {
	const entry = await EntryFixture.start(t);
	const caller = await entry.connect();
	caller.socket.write('nonsense\r\n\r\n');
	await entry.waitUntil(() => caller.isClosed || caller.received.includes('\r\n\r\n'));
	t.regex(caller.received, /^HTTP\/1\.1 400 Bad Request\r\nConnection: close\r\n/v);
	t.like(await entry.waitForLine('connection.ended'), {cause: 'malformed', requests: 0, openReplies: 0});
	t.is(entry.metrics.getCount('siskinnotch_caller_connections_ended', {cause: 'malformed'}), 1);
});

test('a head that is too large is answered with 431, and counted', async t => {
	const entry = await EntryFixture.start(t);
	const caller = await entry.connect();
	caller.socket.write(`GET / HTTP/1.1\r\nHost: a\r\nX-Long: ${'x'.repeat(70_000)}\r\n\r\n`);
	await entry.waitUntil(() => caller.received.startsWith('HTTP/1.1 431 '));
	t.is(entry.metrics.getCount('siskinnotch_caller_connections_ended', {cause: 'malformed'}), 1);
});

// Guards against connections that are closed as idle without a trace.
test('a connection that is closed as idle is counted and logged', async t => {
	const entry = await EntryFixture.start(t, {
		answer(reply) {
			reply.begin(200, ['Content-Length', '0']);
			reply.end();
		},
	});
	entry.server.setLimits({...EntryFixture.limits, idleTimeout: 50});
	const {socket} = await entry.connect();
	socket.write(request);
	t.like(await entry.waitForLine('connection.ended'), {cause: 'idle', requests: 1, openReplies: 0});
	t.is(entry.metrics.getCount('siskinnotch_replies_lost', {loss: 'unsent'}), 0);
});

/** Starts an entry server that answers each request, and a caller whose first request it has answered. */
async function startKept(t: ExecutionContext, idleTimeout = EntryFixture.limits.idleTimeout): Promise<{readonly entry: EntryFixture; readonly caller: CallerSocket}> {
	const entry = await EntryFixture.start(t, {
		answer(reply) {
			reply.begin(200, ['Content-Length', '0']);
			reply.end();
		},
	});
	entry.server.setLimits({...EntryFixture.limits, idleTimeout});
	const caller = await entry.connect();
	caller.socket.write(request);
	await entry.waitUntil(() => caller.received.startsWith(emptyAnswer));
	await entry.timers.sleep(50);
	caller.received = '';
	return {entry, caller};
}

/** Sends bytes and lets the process stand still after it has read input and before it looks at its timers. */
async function sendBeforeStall(socket: Socket, bytes: string, timers: TimerService): Promise<void> {
	await setImmediate();
	socket.write(bytes);
	const end = timers.now() + stallMs;
	while (timers.now() < end) {
		// Nothing else runs meanwhile.
	}
}

// Guards against requests that get neither an answer nor a refusal: the idle time of a process that stood still ended before it had read them.
test.serial('a request that arrives within the idle time of a process that stands still is answered', async t => {
	const {entry, caller} = await startKept(t, 50);
	await sendBeforeStall(caller.socket, request, entry.timers);
	await entry.waitUntil(() => caller.isClosed || caller.received !== '');
	t.true(caller.received.startsWith(emptyAnswer));
	await entry.waitUntil(() => caller.isClosed || entry.metrics.getCount('siskinnotch_caller_connections_ended', {cause: 'idle'}) === 1);
});

// Guards against requests that get neither an answer nor a refusal: their connection was taken for idle when the instance stopped.
test('a request that has arrived and is not read yet is answered when the instance closes idle connections or stops listening', async t => {
	for (const mayListen of [true, false]) {
		const {entry, caller} = await startKept(t); // eslint-disable-line no-await-in-loop
		caller.socket.write(request);
		if (mayListen) {
			void entry.server.closeIdle();
		} else {
			entry.server.stopListening();
		}

		await entry.waitUntil(() => caller.isClosed || caller.received !== ''); // eslint-disable-line no-await-in-loop
		t.true(caller.received.startsWith(emptyAnswer));
	}
});

test('a connection that is idle is closed when the instance stops, one with a part of a request is not', async t => {
	const {entry, caller} = await startKept(t);
	caller.socket.write(request.slice(0, 20));
	await entry.timers.sleep(50);
	await entry.server.closeIdle();
	await entry.timers.sleep(50);
	t.false(caller.socket.readableEnded);
	caller.socket.write(request.slice(20));
	await entry.waitUntil(() => caller.received.startsWith(emptyAnswer));
	await entry.timers.sleep(50);
	await entry.server.closeIdle();
	await entry.waitUntil(() => caller.socket.readableEnded);
	t.is(entry.metrics.getCount('siskinnotch_caller_connections_ended', {cause: 'stopping'}), 1);
});

// Guards against requests that get neither an answer nor a refusal: a changed configuration shortened the idle time after a reply had promised a longer one.
test('a connection is kept as long as the last reply has promised, also if the idle time is shortened before the reply ends', async t => {
	const replies: CallerReply[] = [];
	const entry = await EntryFixture.start(t, {
		answer(reply) {
			replies.push(reply);
		},
	});
	entry.server.setLimits({...EntryFixture.limits, idleTimeout: 3000});
	const caller = await entry.connect();
	const answer = async () => {
		await entry.waitUntil(() => replies.length > 0 || caller.isClosed);
		caller.received = '';
		replies[0].begin(200, ['Content-Length', '0']);
		replies.shift()!.end();
		await entry.waitUntil(() => caller.received !== '');
	};

	caller.socket.write(request);
	await entry.waitUntil(() => replies.length > 0);
	entry.server.setLimits({...EntryFixture.limits, idleTimeout: 50});
	await answer();
	t.regex(caller.received, /\r\nKeep-Alive: timeout=3\r\n/v);
	await entry.timers.sleep(2000);
	caller.socket.write(request);
	await answer();
	t.true(caller.received.startsWith(emptyAnswer));
	// Its reply promises nothing, so the new idle time applies.
	await entry.timers.sleep(2000);
	t.true(caller.socket.readableEnded);
});

// Guards against connections that are never closed: what arrives after a refusal is the rest of its request, not another one.
test('a connection whose refused body arrives after the refusal is idle afterwards', async t => {
	const {entry, caller} = await startKept(t);
	entry.lifecycle.refuseRequests();
	caller.socket.write('POST /drafts/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n');
	await entry.waitUntil(() => caller.received.startsWith('HTTP/1.1 503 '));
	await entry.timers.sleep(50);
	await entry.server.closeIdle();
	t.false(caller.socket.readableEnded);
	caller.socket.write('x'.repeat(100));
	await entry.timers.sleep(50);
	await entry.server.closeIdle();
	await entry.waitUntil(() => caller.socket.readableEnded);
	t.is(entry.metrics.getCount('siskinnotch_caller_connections_ended', {cause: 'stopping'}), 1);
});

// Guards against requests that are answered with 408 although they had arrived: a process that stood still noticed the time first.
test.serial('a head that arrives in time at a process that stands still is read', async t => {
	const timers = new ClockTimerService();
	const observer = new ConnectionLog(new PlatformCodec(), new Metrics(), new RecordingLog());
	const server = new CallerServer({headersTimeout: 500, requestTimeout: 1000, connectionsCheckingInterval: 100}, (_message, response) => {
		response.end('read');
	}, observer, createCallerIntake(timers));
	const port = await freePort();
	await listen(server, '127.0.0.1', port);
	const socket = connect(port, '127.0.0.1');
	t.teardown(() => {
		socket.destroy();
		server.close();
	});
	await once(socket, 'connect');
	socket.write(request.slice(0, 20));
	await timers.sleep(200);
	await sendBeforeStall(socket, request.slice(20), timers);
	socket.setEncoding('latin1');
	const answer = await once(socket, 'data');
	t.regex(String(answer[0]), /^HTTP\/1\.1 200 /v);
	socket.write(request.slice(0, 20));
	const refusal = await once(socket, 'data');
	t.regex(String(refusal[0]), /^HTTP\/1\.1 408 /v);
});

for (const isEnded of [true, false]) {
	const loss = isEnded ? 'unsent' : 'cut';
	// Guards against replies that are lost without a trace: complete for the instance, not all of their bytes have left it.
	test(`a reply that is ${loss} when its caller leaves is counted and logged`, async t => {
		const entry = await EntryFixture.start(t, {
			answer(reply) {
				reply.begin(200, ['Content-Length', String(largeReply.length)]);
				reply.write(largeReply);
				if (isEnded) {
					reply.end();
				}
			},
		});
		const {socket} = await entry.connect(false);
		socket.write(request);
		await entry.waitForLine('request.accepted');
		await entry.timers.sleep(50);
		t.is(entry.metrics.getCount('siskinnotch_replies_lost', {loss}), 0);
		socket.resetAndDestroy();
		t.like(await entry.waitForLine('reply.lost'), {request: 'r1', loss, status: 200});
		t.is(entry.metrics.getCount('siskinnotch_replies_lost', {loss}), 1);
	});
}
