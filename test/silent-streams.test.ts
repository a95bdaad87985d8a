import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {RetryUrgency} from '../src/admission/retry-urgency.js';
import {AttemptFailureReason} from '../src/relay/attempt-failure.js';
import {SuspicionCause} from '../src/pipelines/suspicion-cause.js';
import {Execution} from '../src/results/execution.js';
import {Failure} from '../src/results/failure.js';
import {ResultCode} from '../src/results/result-code.js';
import {sampleResponseHead, sampleStreamRoute, StreamExchangeFixture} from './support/exchange-fixture.js';
import {sampleServer} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

const range = {from: 0, to: 80};
const first = sampleServer('first', 'large', range);
const second = sampleServer('second', 'large', range, {address: '10.0.0.2:1'});
const encoder = new TextEncoder();
const rejection = {...sampleResponseHead, status: 503, isNotExecuted: true};

function encodeEvent(id: number): Uint8Array {
	return encoder.encode(`id: ${id}\ndata: ${id}\n\n`);
}

/** Starts a stream that has received one event from the first server. */
function startStream(route = sampleStreamRoute): StreamExchangeFixture {
	const fixture = new StreamExchangeFixture(route);
	fixture.pipeline = [{server: first, range}];
	fixture.start();
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onData(encodeEvent(1));
	return fixture;
}

// Guards against failures whose log line does not tell an interrupted stream from one that never began.
test('the line of a failed stream says how far it got, and a reply that is cut off is counted', t => {
	const fixture = startStream();
	fixture.pipeline = undefined;
	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'reset', wasConnectionReused: false});
	fixture.timers.advance(1800);
	t.true(fixture.reply.isAborted);
	const {fields} = fixture.log.lines.find(({kind}) => kind === 'request.failed')!;
	t.like(fields, {
		code: ResultCode.StreamInterrupted, isBegun: true, afterEvent: 1, silentMs: 1800, rejections: 0, servers: 1,
	});
	t.regex(fixture.dependencies.metrics.render(), /siskinnotch_replies_cut\{kind="[^"]+",code="84"\} 1/v);
});

// Guards against answers that are cut off although their server only paused: whether another one has capacity is known only from its response.
test('a stream whose server falls silent goes on with it if the other server rejects the request', t => {
	const fixture = startStream();
	const silent = fixture.latest;
	fixture.timers.advance(1400);
	fixture.pipeline = [{server: second, range}];
	fixture.exchange.hedge(undefined, 'no event for 1400 ms');
	t.is(fixture.sent.length, 2);
	fixture.pipeline = undefined;
	fixture.latest.onHead(rejection);
	fixture.latest.onEnd();
	fixture.timers.advance(100);
	t.deepEqual(fixture.cancelled, []);
	silent.onData(encodeEvent(2));
	fixture.timers.advance(1000);
	silent.onEnd();
	t.is(fixture.reply.text, 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n');
	t.true(fixture.reply.isEnded);
	t.false(fixture.reply.isAborted);
});

// Guards against answers that are cut off while their callers still wait, because servers were full for a moment.
test('a begun stream that lost its server and is rejected many times resumes as soon as a server accepts it', t => {
	const fixture = startStream();
	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'reset', wasConnectionReused: false});
	for (let rejections = 0; rejections < 10; rejections++) {
		fixture.timers.advance(100);
		t.is(fixture.sent.length, rejections + 2);
		fixture.latest.onHead(rejection);
		fixture.latest.onEnd();
	}

	t.false(fixture.reply.isAborted);
	fixture.timers.advance(100);
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onData(encodeEvent(2));
	fixture.latest.onEnd();
	t.is(fixture.reply.text, 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n');
});

/** Starts a stream whose first server falls silent after one event, and which is then sent to the second server as well. */
function startTakeover(): StreamExchangeFixture {
	const fixture = startStream();
	fixture.timers.advance(1400);
	fixture.pipeline = [{server: second, range}];
	fixture.exchange.hedge(undefined, 'no event for 1400 ms');
	return fixture;
}

function reject(fixture: StreamExchangeFixture): void {
	fixture.latest.onHead(rejection);
	fixture.latest.onEnd();
}

/** Lets an attempt send events and end, and checks that the caller has the whole stream. */
function completeWith(t: ExecutionContext, fixture: StreamExchangeFixture, {index, ids}: {readonly index: number; readonly ids: readonly number[]}): void {
	const {listener} = fixture.sent[index];
	for (const id of ids) {
		listener.onData(encodeEvent(id));
	}

	listener.onEnd();
	t.deepEqual(readIds(fixture.reply.text), Array.from({length: ids.at(-1)!}, (_, position) => position + 1));
	t.true(fixture.reply.isEnded);
	t.false(fixture.reply.isAborted);
	t.deepEqual([first, second].map(server => fixture.load.getTokens(server)), [0, 0]);
}

function readIds(text: string): readonly number[] {
	return [...text.matchAll(/^id: (?<id>\d+)$/gmv)].map(({groups}) => Number(groups!.id));
}

// Guards against a silent stream that is given up, sent again without a pause, or no longer sent although its servers were full only for a moment.
test('a silent stream is kept however often other servers reject it, and is tried again at growing intervals', t => {
	const fixture = startTakeover();
	const sentAt: number[] = [];
	for (let elapsed = 0; elapsed < 1800; elapsed += 100) {
		if (elapsed > 0) {
			fixture.exchange.hedge(undefined, 'no event');
		}

		if (fixture.sent.length === sentAt.length + 2) {
			sentAt.push(elapsed);
			reject(fixture);
		}

		fixture.timers.advance(100);
	}

	t.deepEqual(sentAt, [0, 100, 300, 600, 1000, 1500]);
	t.deepEqual(fixture.cancelled, []);
	fixture.sent[0].listener.onData(encodeEvent(2));
	fixture.exchange.hedge(undefined, 'no event');
	t.is(fixture.sent.length, 8, 'an event ends the pause');
	completeWith(t, fixture, {index: 0, ids: [3]});
});

// Guards against a stream that stays on a silent server because it was rejected often before.
test('a stream that was rejected often before it began, or in its middle, is still sent to another server when it falls silent', t => {
	const early = new StreamExchangeFixture();
	early.pipeline = [{server: first, range}];
	early.start();
	for (let rejections = 0; rejections < 6; rejections++) {
		reject(early);
		early.timers.advance(40);
	}

	early.latest.onHead(sampleResponseHead);
	early.latest.onData(encodeEvent(1));
	early.pipeline = [{server: second, range}];
	early.exchange.hedge(first, 'it does not respond');
	t.is(early.sent.length, 8);

	const ended = startTakeover();
	for (let rejections = 0; rejections < 6; rejections++) {
		reject(ended);
		ended.timers.advance(700);
		ended.exchange.hedge(undefined, 'no event');
	}

	reject(ended);
	const sent = ended.sent.length;
	ended.serverHealth.suspect(first, 'connection refused', ended.timers.now(), SuspicionCause.Refusing);
	ended.exchange.hedge(first, 'connection refused');
	t.is(ended.sent.length, sent + 1, 'without a pause, as the silent attempt can not go on');
});

// Guards against retries of one stream that use up the budget of all while its servers are full.
test('a begun stream without an attempt in progress is not sent again at once after many rejections', t => {
	const fixture = startStream();
	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'reset', wasConnectionReused: false});
	let rejected = 1;
	while (fixture.sent.length > rejected && rejected < 100) {
		rejected = fixture.sent.length;
		reject(fixture);
	}

	t.true(fixture.sent.length <= 9, `${fixture.sent.length}`);
	t.false(fixture.reply.isAborted);
	fixture.timers.advance(100);
	t.true(fixture.sent.length > rejected);
});

// Guards against a second server that is given up, for a mere suspicion, for a third one that rejects the request.
test('a silent stream keeps both attempts while a third server has not answered', t => {
	const third = sampleServer('third', 'large', range, {address: '10.0.0.3:1'});
	const fixture = startStream({...sampleStreamRoute, maxExecutions: 3});
	fixture.pipeline = [{server: second, range}];
	fixture.exchange.hedge(undefined, 'no event');
	fixture.pipeline = [{server: third, range}];
	fixture.exchange.hedge(second, 'it does not respond');
	t.is(fixture.sent.length, 3);
	reject(fixture);
	t.deepEqual(fixture.cancelled, []);
	fixture.sent[1].listener.onHead(sampleResponseHead);
	completeWith(t, fixture, {index: 1, ids: [2]});
	t.deepEqual(fixture.cancelled, [0]);
});

// Guards against a sound request that counts as one that crashes servers, because a silent attempt and the one beside it were lost together.
test('a silent attempt that is lost is no second sign of a crash', t => {
	const lost = {reason: AttemptFailureReason.ConnectionLost, detail: 'reset', wasConnectionReused: false};
	const fixture = new StreamExchangeFixture({...sampleStreamRoute, maxExecutions: 3});
	fixture.pipeline = [{server: first, range}];
	fixture.start();
	fixture.pipeline = [{server: second, range}];
	fixture.exchange.hedge(first, 'it does not respond');
	fixture.sent[0].listener.onFailure(lost);
	fixture.sent[1].listener.onFailure(lost);
	t.is(fixture.sent.length, 3);
	t.is(fixture.reply.failure, undefined);
});

// Guards against an answer that is cut off because the ids of an attempt that passed nothing on are wrong.
test('a stream whose ids skip goes on with its first server if the ids of the other one are wrong', t => {
	const fixture = startStream();
	for (const id of [3, 5]) {
		fixture.latest.onData(encodeEvent(id));
	}

	fixture.pipeline = [{server: second, range}];
	fixture.exchange.hedge(undefined, 'no event');
	fixture.latest.onHead(sampleResponseHead);
	for (const id of [2, 2]) {
		fixture.latest.onData(encodeEvent(id));
	}

	t.deepEqual(fixture.cancelled, [1]);
	fixture.sent[0].listener.onData(encodeEvent(7));
	fixture.sent[0].listener.onEnd();
	t.deepEqual(readIds(fixture.reply.text), [1, 3, 5, 7]);
	t.true(fixture.reply.isEnded);
});

// Guards against events that are missing without a sign, because a stream resumes after an id that another server contradicted.
test('a stream whose ids were contradicted goes on with its server, and does not resume elsewhere', t => {
	const fixture = startStream();
	for (const id of [3, 90]) {
		fixture.latest.onData(encodeEvent(id));
	}

	fixture.pipeline = [{server: second, range}];
	fixture.exchange.hedge(undefined, 'no event');
	fixture.latest.onHead(sampleResponseHead);
	for (const id of [3, 5, 100]) {
		fixture.latest.onData(encodeEvent(id));
	}

	t.deepEqual(fixture.cancelled, [1]);
	fixture.sent[0].listener.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'reset', wasConnectionReused: false});
	t.is(fixture.sent.length, 2);
	t.true(fixture.reply.isAborted);
});

// Guards against servers that begin a request that was quarantined meanwhile.
test('when a request is quarantined, an attempt that has begun goes on, the one beside it is cancelled, and no other is sent', t => {
	const fixture = startTakeover();
	fixture.exchange.endQuarantined(new Failure(ResultCode.RequestQuarantined, 'the request is quarantined', Execution.NotRun, 600));
	t.deepEqual(fixture.cancelled, [1]);
	fixture.timers.advance(300);
	fixture.pipeline = [{server: sampleServer('third', 'large', range, {address: '10.0.0.3:1'}), range}];
	fixture.exchange.hedge(undefined, 'no event');
	t.is(fixture.sent.length, 2);
	completeWith(t, fixture, {index: 0, ids: [2]});
});

// Guards against streams that run on more servers than their route allows, and against a place that a dead attempt holds.
test('an attempt whose server has ended is not kept, whichever server is suspected', t => {
	for (const suspected of [second, undefined]) {
		const fixture = startTakeover();
		fixture.serverHealth.suspect(first, 'connection refused', fixture.timers.now(), SuspicionCause.Refusing);
		fixture.pipeline = [{server: sampleServer('third', 'large', range, {address: '10.0.0.3:1'}), range}];
		fixture.exchange.hedge(suspected, 'it does not respond');
		t.is(fixture.sent.length, 3);
		t.deepEqual(fixture.cancelled, [0]);
	}
});

// Guards against answers that end with the silence of both servers although the first one goes on.
test('a silent stream goes on with its first server if the other one never answers, and the other attempt is cancelled', t => {
	const fixture = startTakeover();
	fixture.timers.advance(300);
	fixture.sent[0].listener.onData(encodeEvent(2));
	t.deepEqual(fixture.cancelled, [1]);
	t.true(fixture.log.lines.some(({kind, fields}) => kind === 'request.attempt_cancelled' && fields.attempt === 2));
	t.deepEqual(fixture.lossesOf, [], 'a server whose attempt was not needed is no loss');
	completeWith(t, fixture, {index: 0, ids: [3]});
});

// Guards against a stream that loses its first server for a mere head: a server sends it before it knows whether it can go on.
test('a silent stream goes on with the first server that sends an event, whoever sends a head', t => {
	const fixture = startTakeover();
	fixture.latest.onHead(sampleResponseHead);
	t.deepEqual(fixture.cancelled, []);
	fixture.sent[0].listener.onData(encodeEvent(2));
	t.deepEqual(fixture.cancelled, [1]);
	completeWith(t, fixture, {index: 0, ids: [3]});
});

// Guards against attempts that go on after another one has taken the stream over.
test('a silent stream moves once the other server sends an event, also late, and the silent attempt is cancelled', t => {
	const fixture = startTakeover();
	fixture.timers.advance(500);
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onData(encodeEvent(2));
	t.deepEqual(fixture.cancelled, [0]);
	t.is(fixture.sent[1].attempt.lastEventId, 1);
	completeWith(t, fixture, {index: 1, ids: [3]});
});

// Guards against a stream that loses its first server for an event that is not passed on, since its id may be wrong.
test('a silent stream keeps its first server while the only event of the other one is held', t => {
	const fixture = startTakeover();
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onData(encodeEvent(9));
	t.deepEqual(fixture.cancelled, []);
	fixture.latest.onData(encodeEvent(3));
	t.deepEqual(fixture.cancelled, [1], 'the id was wrong');
	t.is(fixture.sent.length, 2);
	completeWith(t, fixture, {index: 0, ids: [2, 3]});
});

// Guards against streams that are sent once more than needed, or fail, when one of two attempts ends.
test('a stream with two attempts goes on with the one that is left', t => {
	const lost = {reason: AttemptFailureReason.ConnectionLost, detail: 'reset', wasConnectionReused: false};
	const firstLost = startTakeover();
	firstLost.sent[0].listener.onFailure(lost);
	t.is(firstLost.sent.length, 2);
	firstLost.latest.onHead(sampleResponseHead);
	completeWith(t, firstLost, {index: 1, ids: [2]});

	const secondLost = startTakeover();
	secondLost.latest.onFailure(lost);
	t.is(secondLost.sent.length, 2);
	completeWith(t, secondLost, {index: 0, ids: [2]});

	const secondFailed = startTakeover();
	secondFailed.latest.onHead({...sampleResponseHead, status: 500});
	secondFailed.latest.onEnd();
	t.is(secondFailed.sent.length, 2);
	completeWith(t, secondFailed, {index: 0, ids: [2]});

	const bothLost = startTakeover();
	bothLost.sent[0].listener.onFailure(lost);
	reject(bothLost);
	t.is(bothLost.sent.length, 3, 'the stream resumes once no attempt is left');
});

// Guards against errors of a server that are passed on although the silent server may still answer.
test('an error of the server that is to take over is not passed on while the silent one may answer', t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = [{server: first, range}];
	fixture.start();
	fixture.timers.advance(1400);
	fixture.pipeline = [{server: second, range}];
	fixture.exchange.hedge(undefined, 'no event for 1400 ms');
	fixture.latest.onHead({...sampleResponseHead, status: 500});
	fixture.latest.onEnd();
	t.false(fixture.reply.isStarted);
	fixture.sent[0].listener.onHead(sampleResponseHead);
	completeWith(t, fixture, {index: 0, ids: [1, 2]});
});

// Guards against servers that work on for a caller that left, or for an instance that stops.
test('both attempts of a stream are cancelled when its caller leaves, at its deadline, and when the process shuts down', t => {
	const left = startTakeover();
	left.reply.leave();
	t.deepEqual(left.cancelled, [0, 1]);
	left.timers.advance(20_000);
	t.is(left.sent.length, 2);

	const expired = startTakeover();
	expired.timers.advance(20_000);
	t.deepEqual(expired.cancelled, [0, 1]);
	t.true(expired.reply.isAborted);

	const stopped = startTakeover();
	stopped.exchange.abort('the instance is shutting down');
	t.deepEqual(stopped.cancelled, [0, 1]);
	for (const fixture of [left, expired, stopped]) {
		t.deepEqual([first, second].map(server => fixture.load.getTokens(server)), [0, 0]);
	}
});

// Guards against streams that run on more servers than their route allows, since a silent server still runs them.
test('a silent stream is sent to no server beyond the limit of its route, and goes on with its own', t => {
	const third = sampleServer('third', 'large', range, {address: '10.0.0.3:1'});
	const fixture = startTakeover();
	fixture.pipeline = [{server: third, range}];
	fixture.exchange.hedge(second, 'it does not respond');
	t.deepEqual(fixture.pipelineRequests.at(-1)!.firstStageCandidates, new Set(['first@1', 'second@1']));

	const limited = startStream({...sampleStreamRoute, maxExecutions: 1});
	limited.exchange.hedge(undefined, 'no event');
	t.deepEqual(limited.pipelineRequests.at(-1)!.firstStageCandidates, new Set(['first@1']));
	t.is(limited.sent.length, 1);
	completeWith(t, limited, {index: 0, ids: [2]});
});

// Guards against retries beyond the budget, and against a stream that is given up because the budget is exhausted.
test('a silent stream is kept on its server while the retry budget is exhausted', t => {
	const fixture = startStream();
	while (fixture.retryBudget.tryAcquire(fixture.timers.now(), RetryUrgency.Begun)) {
		// Another request takes each retry.
	}

	fixture.pipeline = [{server: second, range}];
	fixture.exchange.hedge(undefined, 'no event');
	t.is(fixture.sent.length, 1);
	completeWith(t, fixture, {index: 0, ids: [2]});
});

// Guards against a stream that is kept on a server whose end is proven, and whose capacity it holds.
test('an attempt whose server has ended is not kept beside the next one', t => {
	const fixture = startStream();
	fixture.pipeline = [{server: second, range}];
	fixture.serverHealth.suspect(first, 'connection refused', fixture.timers.now(), SuspicionCause.Refusing);
	fixture.exchange.hedge(first, 'connection refused');
	t.deepEqual(fixture.cancelled, [0]);
	fixture.latest.onHead(sampleResponseHead);
	completeWith(t, fixture, {index: 1, ids: [2]});
});

// Guards against a stream that ends because its connection seems broken, where the new one is rejected.
test('a stream that is sent again for a broken path goes on with its first connection if the other attempt is rejected', t => {
	const fixture = startStream();
	fixture.exchange.reconnect('the path is broken');
	t.is(fixture.sent.length, 2);
	t.true(fixture.sent[1].attempt.needsNewConnection);
	reject(fixture);
	t.deepEqual(fixture.cancelled, []);
	completeWith(t, fixture, {index: 0, ids: [2, 3]});
});

// Guards against a refusal that says that a request did not run although the silent server may run it.
test('a stream without an event whose takeover is rejected fails as unknown shortly before its caller leaves', t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = [{server: first, range}];
	fixture.start();
	fixture.timers.advance(1400);
	fixture.pipeline = [{server: second, range}];
	fixture.exchange.hedge(undefined, 'no event for 1400 ms');
	reject(fixture);
	fixture.pipeline = undefined;
	fixture.timers.advance(450);
	fixture.exchange.hedge(undefined, 'no event for 1850 ms');
	t.is(fixture.reply.failure?.execution, Execution.Unknown);
	t.deepEqual(fixture.cancelled, [0]);
});

type TakeoverStep = {readonly kind: 'event' | 'head' | 'lose' | 'reject' | 'move' | 'wait'; readonly attempt: number};

const stepArbitrary: fc.Arbitrary<TakeoverStep> = fc.record({kind: fc.constantFrom('event', 'event', 'head', 'lose', 'reject', 'move', 'wait'), attempt: fc.nat(1)});

/** Servers of the attempts of a stream. Each sends the events after the last one that its attempt was to resume after. */
class TakeoverSimulation {
	readonly fixture = startTakeover();
	private readonly nextIds = new Map<number, number>([[0, 2]]);
	private readonly heads = new Set<number>([0]);
	private readonly over = new Set<number>();

	/** Indexes of the attempts in progress, in the order in which they were sent. */
	get alive(): readonly number[] {
		return [...this.fixture.sent.keys()].filter(index => !this.over.has(index) && !this.fixture.cancelled.includes(index));
	}

	carryOut({kind, attempt}: TakeoverStep): void {
		const {fixture} = this;
		const index = this.alive.at(attempt) ?? this.alive.at(0);
		if (kind === 'move') {
			fixture.pipeline = [{server: fixture.sent.length % 2 === 0 ? first : second, range}];
			fixture.exchange.hedge(undefined, 'no event');
		} else if (kind === 'wait' || index === undefined) {
			fixture.timers.advance(50);
		} else if (kind === 'lose') {
			this.over.add(index);
			fixture.sent[index].listener.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'reset', wasConnectionReused: false});
		} else if (kind === 'reject' && !this.heads.has(index)) {
			this.over.add(index);
			fixture.sent[index].listener.onHead(rejection);
			fixture.sent[index].listener.onEnd();
		} else {
			this.answer(index, kind === 'event');
		}
	}

	private answer(index: number, hasEvent: boolean): void {
		const {attempt, listener} = this.fixture.sent[index];
		if (!this.heads.has(index)) {
			this.heads.add(index);
			listener.onHead(sampleResponseHead);
		}

		if (hasEvent) {
			const id = this.nextIds.get(index) ?? (attempt.lastEventId ?? 0) + 1;
			this.nextIds.set(index, id + 1);
			listener.onData(encodeEvent(id));
		}
	}
}

// Guards against events that are missing, repeated or out of order, and against too many attempts, in whatever order attempts go on, end or are rejected.
test('whatever the attempts of a stream do, its caller receives each event once and in order', t => {
	fc.assert(fc.property(fc.array(stepArbitrary, {maxLength: 40}), steps => {
		const simulation = new TakeoverSimulation();
		for (const step of steps) {
			if (!simulation.fixture.exchange.isDone) {
				simulation.carryOut(step);
			}

			t.true(simulation.alive.length <= 3);
		}

		const {fixture} = simulation;
		const ids = readIds(fixture.reply.text);
		t.deepEqual(ids, ids.map((_, index) => index + 1));
		t.false(fixture.reply.isEnded && fixture.reply.isAborted);
		fixture.exchange.abort('the test is over');
		t.deepEqual([first, second].map(server => fixture.load.getTokens(server)), [0, 0]);
	}), {seed: seed(), numRuns: 2000});
});
