import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {request as startRequest, type ClientRequest} from 'node:http';
import process from 'node:process';
import test, {type ExecutionContext} from 'ava';
import {freePort} from '../harness/ports.js';
import {EntryServer, type EntryServerDependencies} from '../src/entry/entry-server.js';
import {Lifecycle} from '../src/lifecycle.js';
import {Metrics} from '../src/observation/metrics.js';
import {Execution} from '../src/results/execution.js';
import {Failure} from '../src/results/failure.js';
import {ResultCode} from '../src/results/result-code.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {createCallerIntake} from './support/caller-intake.js';
import {EntryFixture, type EntryOptions} from './support/entry-fixture.js';
import {RecordingLog} from './support/sample-fleet.js';

const limits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 10_000, headerTimeout: 3000, idleTimeout: 15_000,
};
const chunk = 'x'.repeat(4000);

/** Starts an entry server that accepts every route, and a request to it whose body the test sends. */
async function startUpload(t: ExecutionContext, headers: Record<string, string>): Promise<{readonly server: EntryServer; readonly upload: ClientRequest; readonly headRead: Promise<void>}> {
	const timers = new ManualTimerService();
	let markHeadRead: () => void;
	const headRead = new Promise<void>(resolve => {
		markHeadRead = resolve;
	});
	const server = new EntryServer({ // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		intake: createCallerIntake(timers),
		authorizer: {
			authorize() {
				markHeadRead();
				return {};
			},
			findTimeout: () => 5000,
		},
		catalogCurrency: {describe: () => ({isBehind: false, age: 0})},
		codec: {decodeRequest: () => ({id: 'r1', forwardedHeaders: []}), encodeReplyHeaders: () => []},
		exchanges: {},
		lifecycle: new Lifecycle(),
		timers,
		metrics: new Metrics(),
		log: new RecordingLog(timers),
	} as unknown as EntryServerDependencies);
	server.setLimits(limits);
	const port = await freePort();
	await server.listen('127.0.0.1', port);
	const upload = startRequest({
		port, host: '127.0.0.1', method: 'POST', path: '/drafts/', headers,
	});
	t.teardown(() => {
		upload.destroy();
		server.stopListening();
	});
	return {server, upload, headRead};
}

async function receiveStatus(upload: ClientRequest): Promise<number | undefined> {
	return new Promise((resolve, reject) => {
		upload.once('response', ({statusCode}) => {
			resolve(statusCode);
		});
		upload.once('error', reject);
	});
}

// Guards against requests that get neither an answer nor a refusal: the connection must not be closed while the body is refused.
test('a body without a length that turns out too large is refused', async t => {
	const {upload} = await startUpload(t, {'transfer-encoding': 'chunked'});
	const statusCode = receiveStatus(upload);
	for (let count = 0; count < 20; count++) {
		upload.write(chunk);
	}

	upload.end();
	t.is(await statusCode, 413);
});

// Guards against requests that get neither an answer nor a refusal because the configuration changes while their body arrives.
test('a body that a lowered limit forbids while it arrives is refused', async t => {
	const {server, upload, headRead} = await startUpload(t, {'content-length': String(2 * chunk.length)});
	const statusCode = receiveStatus(upload);
	upload.write(chunk);
	await headRead;
	server.setLimits({...limits, maxBodyBytes: 5000});
	upload.end(chunk);
	t.is(await statusCode, 413);
});

function fail(): never {
	throw new TypeError('broken');
}

const faultyOptions: Readonly<Record<string, EntryOptions>> = {
	'decoding its head': {decode: fail},
	'authorizing it': {authorize: fail},
	'starting it': {answer: fail},
	'encoding the head of its refusal': {encodeReply: fail, authorize: fail},
	'writing the head of its refusal': {encodeReply: () => ['x y', ''], authorize: fail},
};

for (const [title, options] of Object.entries(faultyOptions)) {
	// Guards against a request that ends the process, with all the others that it has read: its handling threw outside the part that refuses.
	test(`a request is answered with 500, and the process goes on, if ${title} throws`, async t => {
		const entry = await EntryFixture.start(t, options);
		const caller = await entry.connect();
		caller.socket.write('GET /drafts/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\n\r\n');
		await entry.waitUntil(() => caller.isClosed || caller.received.endsWith('}'));
		t.regex(caller.received, /^HTTP\/1\.1 500 /v);
		t.regex(caller.received, new RegExp(`"code":${ResultCode.InternalError},`, 'v'));
		t.like(await entry.waitForLine('request.refused'), {code: ResultCode.InternalError, execution: Execution.Unknown, isSent: true});
		t.is(entry.server.pendingRequests, 0);
	});
}

// Guards against callers that wait for the rest of a reply that nothing will complete.
test('the connection is closed if the handling of a request throws after its reply has begun', async t => {
	const entry = await EntryFixture.start(t, {
		answer(reply) {
			reply.begin(200, ['Content-Length', '9']);
			reply.write(new Uint8Array(1));
			fail();
		},
	});
	const caller = await entry.connect();
	caller.socket.write('GET /drafts/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\n\r\n');
	await entry.waitUntil(() => caller.socket.readableEnded);
	t.like(await entry.waitForLine('request.refused'), {code: ResultCode.InternalError, isSent: false});
	t.like(await entry.waitForLine('reply.lost'), {request: 'r1', loss: 'cut'});
});

// Guards against a process that ends because it logs a lost reply to a request whose head it can't decode.
test('a reply that is lost is logged although the head of its request cannot be decoded', async t => {
	let isBroken = false;
	const entry = await EntryFixture.start(t, {
		decode: () => isBroken ? fail() : {},
	});
	const {socket} = await entry.connect();
	socket.write('GET /drafts/1 HTTP/1.1\r\nHost: a\r\n\r\n');
	await entry.waitForLine('request.accepted');
	isBroken = true;
	socket.resetAndDestroy();
	t.like(await entry.waitForLine('reply.lost'), {request: '', loss: 'unanswered'});
});

const post = 'POST /drafts/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nContent-Length: 40\r\n\r\n';

// Guards against requests that are taken for those of callers who have left, because their bodies arrive in pieces.
test('a caller that sends its body in pieces and stays has not left', async t => {
	const entry = await EntryFixture.start(t, {
		answer(reply) {
			t.false(reply.isGone);
			reply.begin(204, []);
			reply.end();
		},
	});
	const caller = await entry.connect();
	caller.socket.write(post);
	for (let piece = 0; piece < 4; piece++) {
		await entry.timers.sleep(30); // eslint-disable-line no-await-in-loop
		caller.socket.write('x'.repeat(10));
	}

	await entry.waitUntil(() => caller.received !== '' || caller.isClosed);
	t.regex(caller.received, /^HTTP\/1\.1 204 /v);
	t.false(entry.log.lines.some(({kind}) => kind === 'request.left'));
});

for (const hasLeft of [false, true]) {
	// Guards against requests that are taken for those of callers who have left, because they waited for a newer configuration.
	test(`a request that waits for a newer configuration is ${hasLeft ? 'logged as left if its caller ends the connection' : 'answered if its caller stays'}`, async t => {
		let isNewer = false;
		const entry = await EntryFixture.start(t, {
			isBehind: true,
			authorize() {
				if (!isNewer) {
					throw new Failure(ResultCode.PathUnknown, 'no route');
				}
			},
			answer(reply) {
				t.false(hasLeft);
				reply.begin(204, []);
				reply.end();
			},
		});
		const caller = await entry.connect();
		caller.socket.write(post + 'x'.repeat(40));
		await entry.waitUntil(() => entry.server.pendingRequests === 1);
		await entry.timers.sleep(100);
		if (hasLeft) {
			caller.socket.end();
			await entry.timers.sleep(50);
		}

		isNewer = true;
		if (hasLeft) {
			t.like(await entry.waitForLine('request.refused'), {
				request: 'r1', code: ResultCode.CallerGone, execution: Execution.NotRun, isSent: false,
			});
		} else {
			await entry.waitUntil(() => caller.received !== '' || caller.isClosed);
			t.regex(caller.received, /^HTTP\/1\.1 204 /v);
			t.false(entry.log.lines.some(({kind}) => kind === 'request.left'));
		}
	});
}

// Guards against requests that get neither an answer nor a refusal: a refusal that closes the connection while the body arrives is lost with the reset that what is unread causes.
test('callers that send large bodies to an instance that is stopping receive the refusals', async t => {
	const entry = await EntryFixture.start(t);
	entry.server.setLimits({...EntryFixture.limits, maxBodyBytes: 16_000_000});
	entry.lifecycle.requestStop();
	entry.lifecycle.refuseRequests();
	const script = `const {request} = require('http');
	(async () => {
		const results = [];
		for (let count = 0; count < 20; count++) {
			results.push(await new Promise(resolve => {
				const upload = request({port: ${entry.port}, host: '127.0.0.1', method: 'POST', agent: false, headers: {'content-length': 12000000}}, response => {
					response.resume().on('close', () => { resolve(response.statusCode + ' ' + response.complete); });
				});
				upload.on('error', ({code}) => { resolve(code); });
				upload.end(Buffer.alloc(12000000));
			}));
		}
		process.send(results);
	})();`;
	const callers = spawn(process.execPath, ['-e', script], {stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
	t.teardown(() => callers.kill('SIGKILL'));
	const messages = await once(callers, 'message');
	t.deepEqual(messages[0], Array.from({length: 20}, () => '503 true'));
	await entry.waitUntil(() => entry.server.openReplies === 0);
});
