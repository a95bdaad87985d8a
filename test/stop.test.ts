import test, {type ExecutionContext} from 'ava';
import {Router, type RouterDependencies} from '../src/entry/router.js';
import {type CallerReply} from '../src/relay/caller-reply.js';
import {type RouterSettings} from '../src/settings/router-settings.js';
import {EntryFixture} from './support/entry-fixture.js';

const request = 'GET /drafts/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\n\r\n';
/** More than the buffers of a connection hold. */
const largeReply = new Uint8Array(16_000_000).fill(120);
const noticeMs = 50;
const graceMs = 3000;
const marginMs = 500;

function answerLargely(reply: CallerReply): void {
	reply.begin(200, ['Content-Length', String(largeReply.length)]);
	reply.write(largeReply);
	reply.end();
}

/** Creates a router with nothing but an entry server. */
function createRouter({server, lifecycle, log, timers}: EntryFixture): Router {
	const nothing = {
		size: 0, close: () => undefined, release: () => undefined, retire: () => undefined, abortAll: () => undefined,
	};
	const settings = {stop: {notice: noticeMs, grace: graceMs, margin: marginMs}};
	return new Router(settings as unknown as RouterSettings, { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		entryServer: server, lifecycle, log, timers, exchanges: nothing, tunnelServer: nothing, gossipClients: nothing, leaseManager: nothing, instanceRegistry: nothing,
	} as unknown as RouterDependencies);
}

/** Starts an entry server whose replies are large, and a caller that does not read yet. */
async function startBlocked(t: ExecutionContext, requests: string) {
	const entry = await EntryFixture.start(t, {answer: answerLargely});
	const router = createRouter(entry);
	const caller = await entry.connect(false);
	caller.socket.write(requests);
	await entry.waitForLine('request.accepted');
	return {entry, router, caller};
}

/** Reads until the connection ends; returns the number of bytes. */
async function readAll(socket: NodeJS.ReadableStream): Promise<number> {
	let bytes = 0;
	for await (const chunk of socket) {
		bytes += chunk.length;
	}

	return bytes;
}

for (const connection of ['keep-alive', 'close']) {
	// Guards against replies that are complete for the instance and cut by its stop: not all of their bytes had left it.
	test(`a planned stop waits for the bytes of a reply whose caller reads late (${connection})`, async t => {
		const {entry, router, caller} = await startBlocked(t, request.replace('\r\n\r\n', `\r\nConnection: ${connection}\r\n\r\n`));
		const stopped = router.waitUntilStopped();
		router.requestStop();
		await entry.timers.sleep(noticeMs + 500);
		t.false(entry.log.lines.some(({kind}) => kind === 'process.stopped'));
		t.is(entry.server.openReplies, 1);
		const reading = readAll(caller.socket);
		await stopped;
		t.is(entry.server.openReplies, 0);
		t.like(await entry.waitForLine('process.stopped'), {cut: 0, openReplies: 0});
		t.true(await reading > largeReply.length);
		t.is(entry.metrics.getCount('siskinnotch_replies_lost', {loss: 'unsent'}), 0);
	});
}

// Guards against refusals that are cut by a stop while they wait behind a reply.
test('a planned stop waits for a refusal that follows a reply whose caller reads late', async t => {
	const {entry, router, caller} = await startBlocked(t, `${request}${request.replace('GET', 'POST').replace('\r\n\r\n', '\r\nContent-Length: 20000\r\n\r\n')}`);
	await entry.waitForLine('request.refused');
	const stopped = router.waitUntilStopped();
	router.requestStop();
	await entry.timers.sleep(noticeMs + 300);
	t.false(entry.log.lines.some(({kind}) => kind === 'process.stopped'));
	t.is(entry.server.openReplies, 2);
	let tail = '';
	caller.socket.setEncoding('latin1');
	caller.socket.on('data', (text: string) => {
		tail = (tail + text).slice(-2000);
	});
	caller.socket.write('x'.repeat(20_000));
	await stopped;
	await entry.waitUntil(() => tail.includes('the request body exceeds'));
	t.regex(tail, /HTTP\/1\.1 413 /v);
});

test('a reply to HEAD holds no stop', async t => {
	const entry = await EntryFixture.start(t, {answer: answerLargely});
	const router = createRouter(entry);
	const caller = await entry.connect();
	caller.socket.write(request.replace('GET', 'HEAD'));
	await entry.waitUntil(() => caller.received.endsWith('\r\n\r\n'));
	const stopped = router.waitUntilStopped();
	router.requestStop();
	await stopped;
	t.like(await entry.waitForLine('process.stopped'), {cut: 0, openReplies: 0});
});

test('a caller that does not read holds a planned stop no longer than its grace', async t => {
	const {entry, router} = await startBlocked(t, request);
	const stopped = router.waitUntilStopped();
	const startedAt = entry.timers.now();
	router.requestStop();
	await stopped;
	t.true(entry.timers.now() - startedAt < graceMs);
	t.like(await entry.waitForLine('process.stopped'), {cut: 0, openReplies: 1});
});
