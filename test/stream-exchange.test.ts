import test from 'ava';
import {getIncarnationId} from '../src/pipelines/backend-server.js';
import {SuspicionCause} from '../src/pipelines/suspicion-cause.js';
import {AttemptFailureReason} from '../src/relay/attempt-failure.js';
import {Execution} from '../src/results/execution.js';
import {Failure} from '../src/results/failure.js';
import {ResultCode} from '../src/results/result-code.js';
import {StartOutcome} from '../src/relay/start-outcome.js';
import {sampleResponseHead, sampleStreamRoute, StreamExchangeFixture} from './support/exchange-fixture.js';
import {sampleServer} from './support/sample-fleet.js';

const range = {from: 0, to: 80};
const first = sampleServer('first', 'large', range);
const pipeline = [{server: first, range}];
const encoder = new TextEncoder();

/** Lets the current attempt send events for a duration in milliseconds. */
function answerFor(fixture: StreamExchangeFixture, duration: number): void {
	fixture.latest.onHead(sampleResponseHead);
	for (const part of ['first', 'second']) {
		const id = Math.round(fixture.timers.now()) + 1;
		fixture.latest.onData(encoder.encode(`id: ${id}\ndata: ${part}\n\n`));
		fixture.timers.advance(part === 'first' ? duration : 0);
	}
}

test('a silent stream that loses its connection and finds no pipeline fails before its caller abandons it', t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.timers.advance(1300);
	fixture.pipeline = undefined;
	fixture.exchange.hedge(first, 'no event');
	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'socket hang up', wasConnectionReused: false});
	fixture.timers.advance(490);
	t.is(fixture.reply.failure, undefined, 'the caller is still waiting');
	fixture.timers.advance(20);
	t.is(fixture.reply.failure?.code, ResultCode.StreamInterrupted);
});

test('consecutive rejections do not extend the time that a request waits', t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = pipeline;
	fixture.start();
	for (let rejections = 1; rejections < 4; rejections++) {
		fixture.latest.onHead({...sampleResponseHead, status: 503, isNotExecuted: true});
		fixture.pipeline = undefined;
		fixture.latest.onEnd();
		fixture.timers.advance(300);
		fixture.pipeline = pipeline;
		fixture.timers.advance(40);
	}

	fixture.pipeline = undefined;
	fixture.latest.onHead({...sampleResponseHead, status: 503, isNotExecuted: true});
	fixture.latest.onEnd();
	fixture.timers.advance(100);
	t.is(fixture.reply.failure?.code, ResultCode.NoPipeline);
	t.true(fixture.timers.now() <= 1140);
	t.is(fixture.reply.failure?.retryAfterSeconds, 1);
});

test('an interrupted stream waits for a pipeline until shortly before the idle timeout of its caller', t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.latest.onHead(sampleResponseHead);
	fixture.timers.advance(3000);
	fixture.latest.onData(encoder.encode('id: 1\ndata: one\n\n'));
	fixture.pipeline = undefined;
	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'the connection was reset', wasConnectionReused: false});
	fixture.timers.advance(1700);
	t.false(fixture.reply.isAborted, 'the caller is still waiting');
	fixture.timers.advance(200);
	t.true(fixture.reply.isAborted);
});

test('a silent first stage is not selected to replace itself, and is selected again after a failure only if there is no alternative', t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.exchange.hedge(undefined, 'no event');
	t.is(fixture.sent.length, 1);
	t.true(fixture.pipelineRequests.at(-1)!.excluded.has(getIncarnationId(first)));

	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'socket hang up', wasConnectionReused: false});
	t.is(fixture.sent.length, 2);
	t.true(fixture.pipelineRequests.at(-2)!.excluded.has(getIncarnationId(first)), 'an alternative is looked for first');
});

test('a first stage with a malformed response is not selected again', t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.latest.onHead(sampleResponseHead);
	for (let count = 0; count < 100; count++) {
		fixture.latest.onData(new Uint8Array(1000).fill(120));
	}

	fixture.timers.advance(40);
	t.is(fixture.sent.length, 1);
});

// Guards against a load that is counted twice, or not at all, while a silent stream is kept.
test('a stream that is kept on its pipeline holds its load there once', t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = pipeline;
	fixture.start();
	const tokens = fixture.load.getTokens(first);
	fixture.exchange.hedge(undefined, 'no event');
	t.is(fixture.load.getTokens(first), tokens);
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onData(encoder.encode('id: 1\ndata: one\n\n'));
	fixture.latest.onEnd();
	t.is(fixture.load.getTokens(first), 0);
});

test('first stages that are leaving still count as servers that executed the stream', t => {
	const fixture = new StreamExchangeFixture();
	const second = sampleServer('second', 'large', range, {address: '10.0.0.2:1'});
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.pipeline = [{server: second, range}];
	fixture.serverHealth.suspect(first, 'it says that it is leaving', fixture.timers.now(), SuspicionCause.Failing);
	fixture.exchange.hedge(first, 'it says that it is leaving');
	t.is(fixture.sent.length, 2);
	fixture.serverHealth.suspect(second, 'it says that it is leaving', fixture.timers.now(), SuspicionCause.Failing);
	fixture.exchange.hedge(second, 'it says that it is leaving');
	t.deepEqual(fixture.pipelineRequests.at(-1)!.firstStageCandidates, new Set([getIncarnationId(first), getIncarnationId(second)]));
});

test('a first stage whose address refuses connections does not count as a server that executed the stream', t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.serverHealth.suspect(first, 'a peer could not reach it', fixture.timers.now(), SuspicionCause.Reported);
	fixture.serverHealth.suspect(first, 'connection refused', fixture.timers.now(), SuspicionCause.Refusing);
	fixture.pipeline = [{server: sampleServer('second', 'large', range), range}];
	fixture.exchange.hedge(first, 'connection refused');
	t.is(fixture.sent.length, 2);
	fixture.pipeline = undefined;
	fixture.exchange.hedge(undefined, 'no event');
	t.is(fixture.pipelineRequests.at(-1)!.firstStageCandidates, undefined);
});

test('an event without an end: the attempt ends after a bounded number of bytes, its server is suspected, and the stream resumes elsewhere', t => {
	const fixture = new StreamExchangeFixture();
	const [first, second] = ['a', 'b'].map(id => sampleServer(id, 'large', {from: 0, to: 80}));
	fixture.pipeline = [{server: first, range: {from: 0, to: 80}}];
	fixture.start();
	fixture.latest.onHead(sampleResponseHead);
	fixture.pipeline = [{server: second, range: {from: 0, to: 80}}];
	let sentBytes = 0;
	while (fixture.sent.length === 1 && sentBytes < 10_000_000) {
		sentBytes += 1000;
		fixture.latest.onData(new Uint8Array(1000).fill(120));
		fixture.timers.advance(1);
	}

	t.true(sentBytes < 100_000, `${sentBytes}`);
	t.is(fixture.sent.length, 2);
	t.is(fixture.sent[1].attempt.server.id, 'b');
	t.true(fixture.serverHealth.isSuspected(first, fixture.timers.now()));
	t.is(fixture.reply.text, '');
});

test('an error response without an end is not buffered without bound', t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = [{server: sampleServer('a', 'large', {from: 0, to: 80}), range: {from: 0, to: 80}}];
	fixture.start();
	fixture.latest.onHead({...sampleResponseHead, status: 500});
	for (let count = 0; count < 200; count++) {
		fixture.latest.onData(new Uint8Array(1000));
	}

	t.true(fixture.serverHealth.isSuspected(fixture.pipeline[0].server, fixture.timers.now()));
});

// Guards against streams that run on more servers than their route allows: a silent server may still be executing.
test('first stages that only fell silent still count as servers that executed the stream', t => {
	const fixture = new StreamExchangeFixture();
	const second = sampleServer('second', 'large', range, {address: '10.0.0.2:1'});
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.serverHealth.suspect(first, 'it does not respond', fixture.timers.now(), SuspicionCause.Unresponsive);
	fixture.pipeline = [{server: second, range}];
	fixture.exchange.hedge(first, 'it does not respond');
	t.is(fixture.sent.length, 2);
	fixture.serverHealth.suspect(second, 'it does not respond', fixture.timers.now(), SuspicionCause.Unresponsive);
	fixture.exchange.hedge(second, 'it does not respond');
	t.deepEqual(fixture.pipelineRequests.at(-1)!.firstStageCandidates, new Set([getIncarnationId(first), getIncarnationId(second)]));
});

// Guards against streams that fail although their route allows another server, because a server that ended still counts.
test('a first stage does not count any more once a later incarnation is listed at its address', t => {
	const fixture = new StreamExchangeFixture();
	const second = sampleServer('second', 'large', range, {address: '10.0.0.2:1'});
	fixture.pipeline = pipeline;
	fixture.start();
	answerFor(fixture, 600);
	fixture.pipeline = [{server: second, range}];
	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'socket hang up', wasConnectionReused: false});
	answerFor(fixture, 600);
	fixture.pipeline = undefined;
	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'socket hang up', wasConnectionReused: false});
	t.deepEqual(fixture.pipelineRequests.at(-1)!.firstStageCandidates, new Set([getIncarnationId(first), getIncarnationId(second)]));
	fixture.directory.applyReading({servers: [sampleServer('third', 'large', range, {address: first.address, startedAt: 2})], requestedAt: 100, mayBeIncomplete: false});
	fixture.timers.advance(40);
	t.is(fixture.pipelineRequests.at(-1)!.firstStageCandidates, undefined);
});

// Guards against streams that fail although their route allows another server, because a server that ended still counts.
test('a first stage whose process ended and refuses the next connection does not count any more', t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'socket hang up', wasConnectionReused: false});
	t.is(fixture.sent.length, 2);
	fixture.latest.onFailure({reason: AttemptFailureReason.Refused, detail: 'connect ECONNREFUSED', wasConnectionReused: false});
	t.true(fixture.serverHealth.hasEnded(first));
	t.true(fixture.serverHealth.isSuspected(first, fixture.timers.now()));
	fixture.timers.advance(40);
	t.is(fixture.pipelineRequests.at(-1)!.firstStageCandidates, undefined);
});

// Guards against answers that are cut off although their server only paused.
test('a stream whose server falls silent is not given up while no other pipeline can take it over', t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onData(encoder.encode('id: 1\ndata: one\n\n'));
	fixture.pipeline = undefined;
	fixture.timers.advance(700);
	fixture.exchange.hedge(first, 'it does not respond');
	fixture.timers.advance(1500);
	fixture.exchange.hedge(undefined, 'no event for 2200 ms');
	t.is(fixture.cancelCount, 0);
	t.false(fixture.reply.isAborted);
	fixture.latest.onData(encoder.encode('id: 2\ndata: two\n\n'));
	fixture.latest.onEnd();
	t.is(fixture.reply.text, 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n');
	t.true(fixture.reply.isEnded);
});

// Guards against requests that wait because a stream is queued that may use few servers only, none of which works now.
test('a queued stream that may use few servers only keeps no other request waiting', t => {
	const fixture = new StreamExchangeFixture({...sampleStreamRoute, maxExecutions: 1});
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.latest.onHead(sampleResponseHead);
	fixture.pipeline = undefined;
	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'reset', wasConnectionReused: false});
	t.is(fixture.requestQueue.size, 1);
	let isStarted = false;
	fixture.requestQueue.enqueue({
		priority: 1,
		arrivedAt: 10,
		tokens: 100_000,
		onTimeDeadline: 1000,
		queueDeadline: 1000,
		tryStart() {
			isStarted = true;
			return StartOutcome.Started;
		},
		reserve: () => ({cancel: () => undefined}),
		onTimeout: () => undefined,
	});
	fixture.requestQueue.dispatchReady();
	t.true(isStarted);
	t.is(fixture.requestQueue.size, 1, 'the stream still waits');
});

/** Adds a request to the queue; returns the number of attempts of the stream at each time when it could start. */
function enqueueRequest(fixture: StreamExchangeFixture): readonly number[] {
	const transmissions: number[] = [];
	fixture.requestQueue.enqueue({
		priority: 0,
		arrivedAt: 0,
		tokens: 100,
		onTimeDeadline: 1000,
		queueDeadline: 1000,
		tryStart() {
			transmissions.push(fixture.sent.length);
			return StartOutcome.Started;
		},
		reserve: () => ({cancel: () => undefined}),
		onTimeout() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	});
	return transmissions;
}

// Guards against streams that are cancelled for an alternative whose capacity a queued request takes first.
test('a stream that moves because its server ended takes its new pipeline before queued requests are started', t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = pipeline;
	fixture.start();
	const transmissions = enqueueRequest(fixture);
	fixture.pipeline = [{server: sampleServer('second', 'large', range, {address: '10.0.0.2:1'}), range}];
	fixture.serverHealth.suspect(first, 'connection refused', fixture.timers.now(), SuspicionCause.Refusing);
	fixture.exchange.hedge(first, 'connection refused');
	t.deepEqual(transmissions, [2]);
	t.is(fixture.load.getTokens(first), 0);
});

// Guards against queued requests that are sent to a server whose capacity the kept attempt still holds, or that wait although it no longer does.
test('a silent stream holds the load of both pipelines until one of them goes on', t => {
	const fixture = new StreamExchangeFixture();
	const second = sampleServer('second', 'large', range, {address: '10.0.0.2:1'});
	fixture.pipeline = pipeline;
	fixture.start();
	const tokens = fixture.load.getTokens(first);
	const transmissions = enqueueRequest(fixture);
	fixture.pipeline = [{server: second, range}];
	fixture.exchange.hedge(first, 'it does not respond');
	t.deepEqual(transmissions, []);
	t.deepEqual([first, second].map(server => fixture.load.getTokens(server)), [tokens, tokens]);
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onData(encoder.encode('id: 1\ndata: one\n\n'));
	t.deepEqual(transmissions, [2]);
	t.deepEqual([first, second].map(server => fixture.load.getTokens(server)), [0, tokens]);
	t.deepEqual(fixture.cancelled, [0]);
});

// Guards against streams that stay on a server that ended without a sign, while a server that only paused works again and is the only one their route still allows.
test('a stream returns to a stage that fell silent before if its current one is suspected and there is no other', t => {
	const fixture = new StreamExchangeFixture();
	const second = sampleServer('second', 'large', range, {address: '10.0.0.2:1'});
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.pipeline = [{server: second, range}];
	fixture.exchange.hedge(first, 'it does not respond');
	t.is(fixture.sent.length, 2);
	fixture.exchange.hedge(second, 'it does not respond');
	t.is(fixture.sent.length, 2, 'a stage does not replace itself');
	fixture.pipeline = pipeline;
	fixture.exchange.hedge(undefined, 'no event');
	t.is(fixture.sent.length, 2, 'a stage that may only be slow is not left for one that was silent before');
	fixture.exchange.hedge(second, 'it does not respond');
	t.is(fixture.sent.length, 3);
	t.is(fixture.sent[2].attempt.server, first);
});

// Guards against a crash of a server that is not attributed to the requests that it was about to answer.
test('an attempt that is lost soon after its start is recorded, a later one is not, and events that go on show that the parts are sound', t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'socket hang up', wasConnectionReused: false});
	t.deepEqual(fixture.lossesOf, ['first']);
	t.deepEqual(fixture.clearedParts, []);
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onData(encoder.encode('id: 1\ndata: one\n\n'));
	t.deepEqual(fixture.clearedParts, [], 'the server may crash on what it has begun');
	fixture.timers.advance(500);
	fixture.latest.onData(encoder.encode('id: 2\ndata: two\n\n'));
	fixture.latest.onData(encoder.encode('id: 3\ndata: three\n\n'));
	t.deepEqual(fixture.clearedParts, ['shared', 'topic', 'request:sample']);
	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'socket hang up', wasConnectionReused: false});
	fixture.latest.onFailure({reason: AttemptFailureReason.Refused, detail: 'connect ECONNREFUSED', wasConnectionReused: false});
	t.deepEqual(fixture.lossesOf, ['first']);
});

// Guards against a refusal that says that a request did not run although it did, and against servers that crash on requests that were under way.
test('when a part is quarantined, a request that waits is refused as not run and one that was sent fails as unknown', t => {
	const refusal = new Failure(ResultCode.RequestQuarantined, 'part topic is quarantined', Execution.NotRun, 600);
	const waiting = new StreamExchangeFixture();
	waiting.start();
	waiting.exchange.endQuarantined(refusal);
	t.is(waiting.reply.failure?.code, ResultCode.RequestQuarantined);
	t.is(waiting.reply.failure?.execution, Execution.NotRun);

	const sent = new StreamExchangeFixture();
	sent.pipeline = pipeline;
	sent.start();
	sent.exchange.endQuarantined(refusal);
	t.is(sent.cancelCount, 1);
	t.is(sent.reply.failure?.execution, Execution.Unknown);

	const answering = new StreamExchangeFixture();
	answering.pipeline = pipeline;
	answering.start();
	answering.latest.onHead(sampleResponseHead);
	answering.latest.onData(encoder.encode('id: 1\ndata: one\n\n'));
	answering.exchange.endQuarantined(refusal);
	t.is(answering.reply.failure, undefined);
	t.is(answering.cancelCount, 0);
});

// Guards against one request that crashes a server after the other: servers that ended do not count against its route's limit.
test('a stream that lost two servers before it got going is not sent to a third', t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.pipeline = secondPipeline;
	for (let losses = 0; losses < 2; losses++) {
		fixture.latest.onHead(sampleResponseHead);
		fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'socket hang up', wasConnectionReused: false});
	}

	t.deepEqual(fixture.sent.map(({attempt}) => attempt.server.id), ['first', 'second']);
	t.is(fixture.reply.failure?.code, ResultCode.StreamInterrupted);
	t.is(fixture.reply.failure?.execution, Execution.Unknown);
});

// Guards against requests that get neither an answer nor a refusal: their caller leaves after its idle timeout.
test('a silent stream without an event is refused shortly before its caller abandons it', t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.pipeline = undefined;
	fixture.timers.advance(1790);
	fixture.exchange.hedge(first, 'it does not respond');
	t.is(fixture.reply.failure, undefined, 'the server may still answer in time');
	fixture.timers.advance(20);
	fixture.exchange.hedge(first, 'it does not respond');
	t.is(fixture.reply.failure?.code, ResultCode.StreamInterrupted);
	t.is(fixture.cancelCount, 1);
});

// Guards against a complete stream without a length that is sent to further servers, and against one that was broken off but looks complete.
test('a stream without a length is complete if it ends between events, and is resumed if it ends inside an event', t => {
	const unframed = {...sampleResponseHead, isSelfDelimited: false};
	const complete = new StreamExchangeFixture();
	complete.pipeline = pipeline;
	complete.start();
	complete.latest.onHead(unframed);
	complete.latest.onData(encoder.encode('id: 1\ndata: one\n\n'));
	complete.latest.onEnd();
	t.true(complete.reply.isEnded);
	t.is(complete.sent.length, 1);

	const broken = new StreamExchangeFixture();
	broken.pipeline = pipeline;
	broken.start();
	broken.latest.onHead(unframed);
	broken.latest.onData(encoder.encode('id: 1\ndata: one\n\nid: 2\ndata: tw'));
	broken.latest.onEnd();
	t.false(broken.reply.isEnded);
	t.is(broken.sent.length, 2);
	t.is(broken.sent[1].attempt.lastEventId, 1);
});

// Guards against requests that get neither an answer nor a refusal when their instance stops.
test('when the process shuts down, a stream that has not begun gets a failure that says whether it may have run, one that has begun is cut off', t => {
	const waiting = new StreamExchangeFixture();
	waiting.start();
	waiting.exchange.abort('the instance is shutting down');
	t.is(waiting.reply.failure?.code, ResultCode.Draining);
	t.is(waiting.reply.failure?.execution, Execution.NotRun);

	const sent = new StreamExchangeFixture();
	sent.pipeline = pipeline;
	sent.start();
	sent.exchange.abort('the instance is shutting down');
	t.is(sent.reply.failure?.execution, Execution.Unknown);
	t.is(sent.cancelCount, 1);

	const answering = new StreamExchangeFixture();
	answering.pipeline = pipeline;
	answering.start();
	answering.latest.onHead(sampleResponseHead);
	answering.latest.onData(encoder.encode('id: 1\ndata: one\n\n'));
	answering.exchange.abort('the instance is shutting down');
	t.true(answering.reply.isAborted);
});

// Guards against streams that run once at most and are reported as not run without a statement of their server: these statuses promise it.
for (const status of [408, 429, 503]) {
	test(`a stream that may run only once is not refused by a server that does not state that it did not run it (${status})`, t => {
		const fixture = new StreamExchangeFixture({...sampleStreamRoute, isResumable: false});
		fixture.pipeline = pipeline;
		fixture.start();
		fixture.latest.onHead({...sampleResponseHead, status});
		fixture.latest.onData(encoder.encode('full'));
		fixture.latest.onEnd();
		t.false(fixture.reply.isStarted);
		t.is(fixture.reply.failure?.execution, Execution.Unknown);
		t.is(fixture.sent.length, 1);
	});
}

// Guards against a server that repeats the refusal of a stream on the connection on which the same stream was sent to it again: it has the same id.
test('a stream that is sent to the same first stage again uses a new connection', t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = pipeline;
	fixture.start();
	t.false(fixture.sent[0].attempt.needsNewConnection);
	fixture.latest.onHead({...sampleResponseHead, status: 503, isNotExecuted: true});
	fixture.latest.onEnd();
	t.is(fixture.sent.length, 2);
	t.true(fixture.sent[1].attempt.needsNewConnection);
});

const secondPipeline = [{server: sampleServer('second', 'large', range), range}];
const errorHead = 'HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n';

/** Starts a stream whose caller has received two events, far enough apart to show that the request is sound. */
function beginStream(isSelfDelimited = true): StreamExchangeFixture {
	const fixture = new StreamExchangeFixture({...sampleStreamRoute, maxExecutions: 4});
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.latest.onHead({...sampleResponseHead, isSelfDelimited});
	fixture.latest.onData(encoder.encode('id: 1\ndata: one\n\n'));
	fixture.timers.advance(1000);
	fixture.latest.onData(encoder.encode('id: 2\ndata: two\n\n'));
	fixture.pipeline = secondPipeline;
	return fixture;
}

/** Starts a stream that breaks off within its third event and is sent to the second pipeline. */
function breakStream(): StreamExchangeFixture {
	const fixture = beginStream();
	fixture.latest.onData(encoder.encode('id: 3\ndata: th'));
	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'socket hang up', wasConnectionReused: false});
	return fixture;
}

const delivered = 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n';
const resumed = 'id: 3\ndata: three\n\n';
const errorResponses = [
	...[201, 204, 206, 301, 400, 404, 429, 500, 503].flatMap(status => [true, false].map(isSigned => ({status, isSigned}))),
	{status: 200, isSigned: false},
];

for (const {status, isSigned} of errorResponses) {
	// Guards against an error of the next server in the middle of a stream, and against a stream that ends with it as if it were complete.
	test(`a stream that has begun does not end with, or contain, the next response ${status} (${isSigned ? 'signed' : 'not signed'})`, t => {
		for (const body of ['failed', 'failed\n\n', resumed, errorHead, '']) {
			const fixture = breakStream();
			t.is(fixture.sent.length, 2);
			fixture.latest.onHead({...sampleResponseHead, status, isSigned});
			fixture.latest.onData(encoder.encode(body));
			fixture.pipeline = undefined;
			fixture.latest.onEnd();
			t.is(fixture.reply.text, delivered);
			t.false(fixture.reply.isEnded);
			fixture.timers.advance(20_000);
			t.is(fixture.reply.text, delivered);
			t.false(fixture.reply.isEnded);
			t.true(fixture.reply.isAborted);
		}
	});
}

// Guards against an error's text, or its whole head, in the middle of a stream: on a response without a length, what follows is read as its body.
for (const [title, bytes] of [
	['between events', errorHead],
	['within an event', `id: 3\ndata: th${errorHead}`],
	['with a body that looks like an event', `${errorHead}id: 3\ndata: failed\n\n`],
]) {
	test(`the head of an error that follows ${title} is not part of the stream, which resumes elsewhere`, t => {
		const fixture = beginStream(false);
		fixture.latest.onData(encoder.encode(bytes));
		t.is(fixture.reply.text, delivered);
		t.is(fixture.sent.length, 2);
		t.is(fixture.sent[1].attempt.server.id, 'second');
		t.is(fixture.sent[1].attempt.lastEventId, 2);
	});
}

// Guards against a body that is no stream of events in the middle of a stream.
test('a resumed stream whose body has no events is not forwarded and resumes again', t => {
	for (const body of ['{"error":\n\n"failed"}', '<html>\n\n</html>', 'Internal error\r\n\r\nfailed', 'failed']) {
		const fixture = breakStream();
		fixture.latest.onHead(sampleResponseHead);
		fixture.pipeline = pipeline;
		fixture.latest.onData(encoder.encode(body));
		if (fixture.sent.length === 2) {
			fixture.latest.onEnd();
		}

		t.is(fixture.reply.text, delivered);
		t.false(fixture.reply.isEnded);
		t.is(fixture.sent.length, 3);
	}
});

// Guards against sound streams that are taken for malformed ones.
test('comments, further fields and carriage returns are parts of a stream', t => {
	const fixture = beginStream();
	const events = [': pause\n\n', 'weight-versions: 4\nid: 3\ndata: HTTP/1.1 503\n\n', 'id:4\r\ndata: {"a":\r\ndata\r\n\r\n', 'event: end\ndata: [DONE]\n\n'];
	fixture.latest.onData(encoder.encode(events.join('')));
	fixture.latest.onEnd();
	t.is(fixture.reply.text, delivered + events.join(''));
	t.true(fixture.reply.isEnded);
});

// Guards against events that a caller receives twice: a server may begin again, or repeat itself.
test('a resumed stream that begins again, or repeats events, adds only later ones', t => {
	const fixture = breakStream();
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onData(encoder.encode(`${delivered}${resumed}${resumed}id: 2\ndata: two\n\n`));
	fixture.latest.onData(encoder.encode(resumed));
	fixture.latest.onEnd();
	t.is(fixture.reply.text, delivered + resumed);
	t.true(fixture.reply.isEnded);
});

// Guards against a stream that ends as if it were complete: without a length, a server that ends at once looks like one that has nothing to add.
test('a resumed stream without a length that ends before any event is resumed again', t => {
	const fixture = breakStream();
	fixture.latest.onHead({...sampleResponseHead, isSelfDelimited: false});
	fixture.pipeline = pipeline;
	fixture.latest.onEnd();
	t.false(fixture.reply.isEnded);
	t.is(fixture.sent.length, 3);
});

// Guards against streams that are resumed again although the first server had sent all events before its connection was lost.
test('a resumed stream with a length that ends before any event is complete', t => {
	const fixture = breakStream();
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onEnd();
	t.true(fixture.reply.isEnded);
	t.is(fixture.sent.length, 2);
});

// Guards against an error without its body, whose length makes the next response on the connection a part of it.
test('an error that is not signed is passed on with its body', t => {
	const fixture = new StreamExchangeFixture({...sampleStreamRoute, isResumable: false});
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.latest.onHead({...sampleResponseHead, status: 400, isSigned: false});
	fixture.latest.onData(encoder.encode('no id'));
	fixture.latest.onEnd();
	t.true(fixture.reply.isEnded);
	t.is(fixture.reply.text, 'no id');
});
