import test from 'ava';
import {EntryFixture} from './support/entry-fixture.js';

const request = 'GET /drafts/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\n\r\n';
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
