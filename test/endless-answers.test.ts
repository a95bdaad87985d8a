import {createServer} from 'node:http';
import test from 'ava';
import fc from 'fast-check';
import {PlatformCodec} from '../platform/platform-codec.js';
import {HttpPlainService} from '../src/backends/http-plain-service.js';
import {LineSplitter} from '../src/backends/line-splitter.js';
import {ByteBuffer} from '../src/network/byte-buffer.js';
import {listen} from '../src/network/listen.js';
import {AttemptFailureReason, type AttemptFailure} from '../src/relay/attempt-failure.js';
import {BackendAgent} from '../src/relay/backend-agent.js';
import {BackendClient} from '../src/relay/backend-client.js';
import {EventSplitter} from '../src/relay/streams/event-splitter.js';
import {Execution} from '../src/results/execution.js';
import {HttpFetch} from '../src/store/http-fetch.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {getListeningPort} from '../simulators/json-server.js';
import {
	ExchangeFixture, sampleResponseHead, sampleStreamRoute, StreamExchangeFixture,
} from './support/exchange-fixture.js';
import {Flood, startFloodServer} from './support/flood.js';
import {sampleServer} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

const timers = new ClockTimerService();
const timeoutMs = 20_000;
const encoder = new TextEncoder();
const attemptId = 'attempt-1';

function send(port: number): {readonly outcome: Promise<AttemptFailure | undefined>; readonly pieces: () => number} {
	const client = new BackendClient({
		codec: new PlatformCodec(), agent: new BackendAgent(timers, 1000), timers, connectTimeout: timeoutMs,
	});
	let pieces = 0;
	const outcome = new Promise<AttemptFailure | undefined>(resolve => {
		client.send({
			request: {...new ExchangeFixture().createRequest(sampleStreamRoute), id: attemptId, headers: ['Host', 'a', 'Siskinnotch-Attempt-Id', attemptId]},
			server: sampleServer('a', '', undefined, {address: `127.0.0.1:${port}`}),
			remaining: timeoutMs,
			needsNewConnection: true,
		}, {
			onHead: () => undefined,
			onData() {
				pieces++;
			},
			onEnd() {
				resolve(undefined);
			},
			onFailure: resolve,
		});
	});
	return {outcome, pieces: () => pieces};
}

for (const kind of [Flood.SmallChunks, Flood.ErrorChunks, Flood.RefusalChunks, Flood.BlankLines, Flood.Interim]) {
	// Guards against an attempt that is kept until its deadline although each of its bytes costs as much as a sound answer.
	test.serial(`an attempt whose server sends ${kind} without end fails early`, async t => {
		const {outcome, pieces} = send(await startFloodServer(t, kind));
		const failure = await outcome;
		t.is(failure?.reason, AttemptFailureReason.ExcessiveResponse);
		t.true(pieces() < 10_000, `${pieces()} pieces`);
	});
}

for (const kind of [Flood.SmallChunks, Flood.LargePieces, Flood.Head, Flood.Interim]) {
	// Guards against reports, health checks and orders that exhaust the memory.
	test.serial(`a query whose server sends ${kind} without end fails`, async t => {
		const port = await startFloodServer(t, kind);
		await t.throwsAsync(new HttpFetch().fetch(`http://127.0.0.1:${port}/`, {maxBodyBytes: 100_000}));
	});

	// Guards against answers of plain services that exhaust the memory.
	test.serial(`a call whose server sends ${kind} without end fails early (own interface)`, async t => {
		const port = await startFloodServer(t, kind);
		const startedAt = timers.now();
		const {execution, answer} = await new HttpPlainService(timers).call(`127.0.0.1:${port}`, {
			operation: 'lookup', request: 'r1', key: 'k1', body: '{}', headers: {},
		}, timeoutMs);
		t.is(execution, Execution.Unknown);
		t.is(answer, undefined);
		t.true(timers.now() - startedAt < timeoutMs);
	});
}

// Guards against sound answers that are refused because their server writes them byte by byte.
test('an answer in small pieces is complete', async t => {
	const body = 'x'.repeat(2000);
	const server = createServer((request, response) => {
		request.resume();
		response.writeHead(200, {'siskinnotch-attempt-id': request.headers['siskinnotch-attempt-id'] ?? '', 'siskinnotch-replica-signature': 's'});
		for (const byte of body) {
			response.write(byte);
		}

		response.end();
	});
	await listen(server, '127.0.0.1', 0);
	t.teardown(() => {
		server.close();
	});
	const {outcome} = send(getListeningPort(server));
	t.is(await outcome, undefined);
	const {text} = await new HttpFetch().fetch(`http://127.0.0.1:${getListeningPort(server)}/`, {});
	t.is(await text(), body);
});

test('comments and blank lines without end are not waited for, and those between events are', t => {
	const splitter = new EventSplitter();
	for (let count = 0; count < 10_000; count++) {
		splitter.push(encoder.encode(`: pause\n\n\n\nid: ${count}\ndata: x\n\n`));
	}

	t.false(splitter.isOversized);
	for (let count = 0; count < 10_000; count++) {
		splitter.push(encoder.encode(': pause\n\n'));
	}

	t.true(splitter.isOversized);
});

// Guards against a stream that goes on at a server which sends no events but other bytes, because those are no fault for its attempt.
test('a stream whose server sends an excessive response goes on at another one', t => {
	const range = {from: 0, to: 80};
	const fixture = new StreamExchangeFixture();
	const first = sampleServer('first', 'large', range);
	fixture.pipeline = [{server: first, range}];
	fixture.start();
	fixture.pipeline = [{server: sampleServer('second', 'large', range, {address: '10.0.0.2:1'}), range}];
	fixture.latest.onFailure({reason: AttemptFailureReason.ExcessiveResponse, detail: 'too many pieces', wasConnectionReused: false});
	t.is(fixture.sent[1].attempt.server.id, 'second');
	t.true(fixture.serverHealth.isSuspected(first, fixture.timers.now()));
	t.deepEqual(fixture.lossesOf, [], 'the server has not crashed');
});

test('a line without end is an error (own interface)', t => {
	const lines = new LineSplitter();
	t.deepEqual(lines.push(encoder.encode('one\ntwo')), ['one']);
	t.throws(() => {
		for (let count = 0; count < 100; count++) {
			lines.push(new Uint8Array(100_000).fill(120));
		}
	}, {instanceOf: RangeError});
});

test('bytes are collected in order, whatever the pieces', t => {
	fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 600}), {maxLength: 20}), pieces => {
		const buffer = new ByteBuffer();
		for (const piece of pieces) {
			buffer.append(piece);
		}

		const expected = pieces.flatMap(piece => [...piece]);
		t.is(buffer.length, expected.length);
		t.deepEqual([...buffer.bytes], expected);
		t.deepEqual([...buffer.take()], expected);
		t.is(buffer.length, 0);
	}), {seed: seed()});
});

// Guards against a rejected stream that waits for the end of the rejection's body until its deadline.
test('a rejection of a stream whose body has no end is handled without waiting for it', t => {
	const range = {from: 0, to: 80};
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = [{server: sampleServer('first', 'large', range), range}];
	fixture.start();
	fixture.pipeline = [{server: sampleServer('second', 'large', range, {address: '10.0.0.2:1'}), range}];
	const {latest} = fixture;
	latest.onHead({...sampleResponseHead, status: 503, isNotExecuted: true});
	for (let count = 0; count < 100 && fixture.sent.length === 1; count++) {
		latest.onData(new Uint8Array(1000));
	}

	t.is(fixture.sent[1].attempt.server.id, 'second');
	t.is(fixture.cancelCount, 1);
});
