import test from 'ava';
import {RequestKind} from '../src/catalog/request-kind.js';
import {PlainServerSelector} from '../src/pipelines/plain-server-selector.js';
import {SuspicionCause} from '../src/pipelines/suspicion-cause.js';
import {PlainExchange} from '../src/relay/plain/plain-exchange.js';
import {AttemptFailureReason} from '../src/relay/attempt-failure.js';
import {Execution} from '../src/results/execution.js';
import {Failure} from '../src/results/failure.js';
import {ResultCode} from '../src/results/result-code.js';
import {resultTable} from '../src/results/result-table.js';
import {RandomSource} from '../src/routing/random-source.js';
import {ExchangeFixture, sampleResponseHead} from './support/exchange-fixture.js';
import {lookupRoute, startLookup} from './support/lookup-fixture.js';
import {sampleServer} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

test('a lookup that was executed is not reported as not executed when its servers leave the list', t => {
	const fixture = startLookup(5);
	fixture.latest.onHead({...sampleResponseHead, status: 500});
	fixture.directory.applyReading({servers: [], requestedAt: 1, mayBeIncomplete: false});
	fixture.latest.onEnd();
	t.is(fixture.reply.failure?.execution, Execution.Unknown);
	t.not(resultTable[fixture.reply.failure!.code].status, 503);
});

test('a request that finds all connections in use is refused at once as not executed, with a retry delay', t => {
	const fixture = startLookup(0);
	t.is(fixture.sent.length, 0);
	t.is(fixture.reply.failure?.code, ResultCode.NoPipeline);
	t.is(fixture.reply.failure?.execution, Execution.NotRun);
	t.is(fixture.reply.failure?.retryAfterSeconds, 0.5);
});

test('a server that says in an answer that it is leaving gets no further request, without the list', t => {
	const fixture = startLookup(5);
	const {directory} = fixture;
	fixture.latest.onHead({...sampleResponseHead, isLeaving: true});
	fixture.latest.onEnd();
	t.true(fixture.reply.isEnded);
	t.deepEqual(directory.usable('records'), []);
	directory.applyReading({servers: [sampleServer('a', '', undefined, {service: 'records'})], requestedAt: 1, mayBeIncomplete: false});
	t.deepEqual(directory.usable('records'), [], 'the list shows it as serving');
	directory.applyReading({servers: [], requestedAt: 2, mayBeIncomplete: false});
	directory.applyReading({servers: [sampleServer('a', '', undefined, {service: 'records'})], requestedAt: 3, mayBeIncomplete: false});
	t.deepEqual(directory.usable('records'), [], 'the list shows it as serving again');
	directory.applyReading({servers: [sampleServer('a', '', undefined, {service: 'records', startedAt: 2})], requestedAt: 4, mayBeIncomplete: false});
	t.is(directory.usable('records').length, 1, 'a new incarnation');
});

test('a server that asks for a pause gets no request until it is over, also with many queued and after success of an earlier one', t => {
	const fixture = startLookup(5);
	const {timers, serverHealth, backpressure, dependencies, directory, load} = fixture;
	const server = directory.usable('records')[0];
	const start = () => {
		new PlainExchange(dependencies, fixture.createRequest(lookupRoute), fixture.reply, {
			selector: new PlainServerSelector({
				directory, serverHealth, backpressure, load, random: new RandomSource(seed()),
			}),
			computeConnectionShare: () => 5,
			limits: {maxBufferedBytes: 1000, responseTimeoutFraction: 0.8},
		}).start(() => undefined);
	};

	fixture.latest.onHead({
		...sampleResponseHead, status: 503, isNotExecuted: true, pause: 3000,
	});
	fixture.latest.onEnd();
	const sentBefore = fixture.sent.length;
	serverHealth.clearSuspicion(server, timers.now());
	for (let step = 0; step < 29; step++) {
		timers.advance(100);
		start();
	}

	t.is(fixture.sent.length, sentBefore);
	timers.advance(200);
	start();
	t.is(fixture.sent.length, sentBefore + 1);
});

test('a pause is bounded, and a new incarnation of the server starts without it', t => {
	const {backpressure: {pauses}} = new ExchangeFixture();
	const server = sampleServer('a', '');
	pauses.pause(server, 1e12, 0);
	t.true(pauses.isPaused(server, 59_999));
	t.false(pauses.isPaused(server, 60_000));
	t.false(pauses.isPaused({...server, startedAt: 2}, 0));
});

test('a rejection whose body has no end is handled without waiting for it', t => {
	const fixture = startLookup(5);
	const first = fixture.latest;
	first.onHead({...sampleResponseHead, status: 503, isNotExecuted: true});
	for (let count = 0; count < 100 && fixture.sent.length === 1 && !fixture.reply.failure; count++) {
		first.onData(new Uint8Array(100));
	}

	t.true(fixture.sent.length > 1 || fixture.reply.failure?.execution === Execution.NotRun);
});

// Guards against lookups that are cancelled at a server that may still answer, before it is known that another one can be used.
test('a lookup without a response moves to another server only if that one can be used', t => {
	for (const isSuspected of [true, false]) {
		const kept = startLookup(1, ['a', 'b']);
		const other = kept.directory.all().find(({id}) => id !== kept.sent[0].attempt.server.id)!;
		if (isSuspected) {
			kept.serverHealth.suspect(other, 'it does not respond', 0, SuspicionCause.Unresponsive);
		} else {
			kept.load.start([{server: other, range: {from: 0, to: 0}}], 0);
		}

		kept.timers.advance(1000);
		t.is(kept.cancelCount, 0);
		kept.latest.onHead({...sampleResponseHead, status: 200});
		kept.latest.onEnd();
		t.true(kept.reply.isEnded);
	}

	const moved = startLookup(5, ['a', 'b']);
	moved.timers.advance(1000);
	t.is(moved.sent.length, 2);
	t.not(moved.sent[0].attempt.server.id, moved.sent[1].attempt.server.id);
});

// Guards against lookups that are refused although a limited server is going to accept them in time, or that wait although it is not.
test('a lookup waits for the limit of its server if that allows it in time, and is refused at once with the delay otherwise', t => {
	const exhaustLimit = (perSecond: number) => {
		const fixture = startLookup(5);
		const {timers, backpressure, directory} = fixture;
		const [server] = directory.usable('records');
		backpressure.limits.observe(server, {perSecond, sentAt: 0}, 0);
		while (backpressure.limits.allows(server, 0)) {
			backpressure.limits.recordRequest(server, 0);
		}

		fixture.latest.onHead({
			...sampleResponseHead, status: 503, isNotExecuted: true, requestLimit: perSecond,
		});
		fixture.latest.onEnd();
		const attempts = fixture.sent.length;
		timers.advance(backpressure.limits.computeDelay(server, 0));
		return {failure: fixture.reply.failure, attempts, lateAttempts: fixture.sent.length - attempts};
	};

	const waiting = exhaustLimit(4);
	t.is(waiting.failure, undefined);
	t.is(waiting.attempts, 1);
	t.is(waiting.lateAttempts, 1);
	const refused = exhaustLimit(0.3);
	t.is(refused.failure?.execution, Execution.NotRun);
	t.true(refused.failure!.retryAfterSeconds! > 1);
	t.is(refused.lateAttempts, 0);
});

test('a lookup that waits for the limit of a server goes to another one if that server leaves', t => {
	const fixture = startLookup(5);
	const {timers, backpressure, directory} = fixture;
	const [server] = directory.usable('records');
	backpressure.limits.observe(server, {perSecond: 4, sentAt: 0}, 0);
	while (backpressure.limits.allows(server, 0)) {
		backpressure.limits.recordRequest(server, 0);
	}

	fixture.latest.onHead({
		...sampleResponseHead, status: 503, isNotExecuted: true, requestLimit: 4,
	});
	fixture.latest.onEnd();
	directory.applyReading({servers: [sampleServer('other', '', undefined, {service: 'records'})], requestedAt: 1, mayBeIncomplete: false});
	timers.advance(500);
	t.is(fixture.sent.at(-1)?.attempt.server.id, 'other');
});

const connectionLost = {reason: AttemptFailureReason.ConnectionLost, detail: 'socket hang up', wasConnectionReused: false};

// Guards against a lookup that crashes a server with each of its attempts.
test('a lookup that lost two servers is not sent to a third, and one that is suspected of earlier crashes not to a second', t => {
	const fixture = startLookup(5, ['a', 'b', 'c'], 3);
	fixture.latest.onFailure(connectionLost);
	t.is(fixture.sent.length, 2);
	fixture.latest.onFailure(connectionLost);
	t.is(fixture.sent.length, 2);
	t.is(fixture.reply.failure?.execution, Execution.Unknown);
	t.deepEqual(fixture.lossesOf, fixture.sent.map(({attempt}) => attempt.server.id));

	const suspected = startLookup(5, ['a', 'b', 'c'], 3);
	suspected.suspectedRequests.add('request:sample');
	suspected.latest.onFailure(connectionLost);
	t.is(suspected.sent.length, 1);
	t.is(suspected.reply.failure?.execution, Execution.Unknown);
});

// Guards against requests that are taken for the cause of crashes although servers ran them, and against failures that are taken for crashes.
test('a complete response shows that a lookup is sound, and only a lost connection counts against it', t => {
	const failing = startLookup(5, ['a', 'b']);
	failing.latest.onHead({...sampleResponseHead, status: 500});
	failing.latest.onEnd();
	t.deepEqual(failing.clearedParts, ['shared', 'topic', 'request:sample']);
	t.deepEqual(failing.lossesOf, []);

	const unsent = startLookup(5, ['a', 'b']);
	unsent.latest.onFailure({reason: AttemptFailureReason.Refused, detail: 'connect ECONNREFUSED', wasConnectionReused: false});
	unsent.latest.onHead({...sampleResponseHead, status: 503, isNotExecuted: true});
	unsent.latest.onEnd();
	t.deepEqual(unsent.clearedParts, []);
	t.deepEqual(unsent.lossesOf, []);
});

// Guards against a quarantined request that goes on crashing servers because it was under way, and against a promise that it did not run.
test('when a request is quarantined, its attempt without a response is cancelled and fails as unknown', t => {
	const refusal = new Failure(ResultCode.RequestQuarantined, 'the request is quarantined', Execution.NotRun, 600);
	const fixture = startLookup(5);
	fixture.exchange.endQuarantined(refusal);
	t.is(fixture.cancelCount, 1);
	t.is(fixture.reply.failure?.execution, Execution.Unknown);

	const answered = startLookup(5);
	answered.latest.onHead(sampleResponseHead);
	answered.exchange.endQuarantined(refusal);
	answered.latest.onEnd();
	t.true(answered.reply.isEnded);
});

// Guards against a limit that is lifted by a response that says nothing about it.
test('a response that is not signed does not lift the limit of its server', t => {
	const fixture = startLookup(5);
	const {backpressure, directory} = fixture;
	backpressure.limits.observe(directory.usable('records')[0], {perSecond: 4, sentAt: 0}, 0);
	fixture.latest.onHead({...sampleResponseHead, status: 502, isSigned: false});
	t.is(backpressure.limits.size, 1);
	fixture.timers.advance(1);
	fixture.latest.onHead(sampleResponseHead);
	t.is(backpressure.limits.size, 0);
});

// Guards against requests that run once at most and are reported as not run without a statement of their server: these statuses promise it.
for (const status of [408, 429, 503]) {
	for (const bodyBytes of [10, 5000]) {
		test(`a request that may run only once is not refused by a server that does not state that it did not run it (${status}, ${bodyBytes} bytes)`, t => {
			const fixture = startLookup(5, ['a', 'b'], 2, RequestKind.NonIdempotent);
			fixture.latest.onHead({...sampleResponseHead, status});
			fixture.latest.onData(new Uint8Array(bodyBytes));
			if (!fixture.exchange.isDone) {
				fixture.latest.onEnd();
			}

			t.false(fixture.reply.isStarted);
			t.is(fixture.reply.failure?.execution, Execution.Unknown);
			t.is(resultTable[fixture.reply.failure!.code].status, 502);
			t.is(fixture.sent.length, 1);
		});
	}

	test(`a response to a request that may run more than once is passed on unchanged (${status})`, t => {
		const fixture = startLookup(5, ['a'], 1);
		fixture.latest.onHead({...sampleResponseHead, status});
		fixture.latest.onEnd();
		t.true(fixture.reply.isStarted);
	});
}

// Guards against a server that repeats the refusal of a request on the connection on which the same request was sent to it again: it has the same id.
test('a request that is sent to the same server again uses a new connection', t => {
	const fixture = startLookup(5, ['a'], 2);
	t.false(fixture.sent[0].attempt.needsNewConnection);
	fixture.latest.onHead({...sampleResponseHead, status: 503, isNotExecuted: true});
	fixture.latest.onEnd();
	t.is(fixture.sent.length, 2);
	t.is(fixture.sent[1].attempt.server.id, 'a');
	t.true(fixture.sent[1].attempt.needsNewConnection);
});

// Guards against a refused request that is reported as not run although an earlier attempt may have run.
test('a lookup that was lost at one server and refused by the next may have run', t => {
	const fixture = startLookup(5, ['a', 'b'], 2);
	fixture.latest.onFailure({reason: AttemptFailureReason.InvalidResponse, detail: 'the response belongs to another request', wasConnectionReused: true});
	for (let count = 1; count < fixture.sent.length && !fixture.exchange.isDone; count++) {
		fixture.latest.onHead({...sampleResponseHead, status: 503, isNotExecuted: true});
		fixture.latest.onEnd();
	}

	t.true(fixture.sent.length > 1);
	t.is(fixture.reply.failure?.execution, Execution.Unknown);
});

// Guards against a request that runs at a second server because the response of the first belonged to another request.
test('a request that may run only once is not sent again after a response of another request', t => {
	const fixture = startLookup(5, ['a', 'b'], 2, RequestKind.NonIdempotent);
	t.true(fixture.sent[0].attempt.needsNewConnection);
	fixture.latest.onFailure({reason: AttemptFailureReason.InvalidResponse, detail: 'the response belongs to another request', wasConnectionReused: false});
	t.is(fixture.sent.length, 1);
	t.is(fixture.reply.failure?.execution, Execution.Unknown);
});

// Guards against lookups that fail although their server only paused: whether another one has capacity is known only from its response.
test('a lookup whose server is silent is answered by it if the other server rejects the lookup', t => {
	const fixture = startLookup(5, ['a', 'b']);
	const silent = fixture.latest;
	fixture.timers.advance(400);
	t.is(fixture.sent.length, 2);
	fixture.latest.onHead({...sampleResponseHead, status: 503, isNotExecuted: true});
	fixture.latest.onEnd();
	t.deepEqual(fixture.cancelled, []);
	silent.onHead(sampleResponseHead);
	silent.onEnd();
	t.true(fixture.reply.isEnded);
	t.is(fixture.reply.failure, undefined);
});
