import test from 'ava';
import {RetryUrgency} from '../src/admission/retry-urgency.js';
import {AttemptFailureReason} from '../src/relay/attempt-failure.js';
import {type ResponseListener} from '../src/relay/response-listener.js';
import {Execution} from '../src/results/execution.js';
import {Failure} from '../src/results/failure.js';
import {ResultCode} from '../src/results/result-code.js';
import {sampleResponseHead} from './support/exchange-fixture.js';
import {startLookup, type LookupFixture} from './support/lookup-fixture.js';

/** Milliseconds after which a second attempt is sent beside a silent one. */
const responseTimeout = 400;
const rejection = {...sampleResponseHead, status: 503, isNotExecuted: true};
const serverError = {...sampleResponseHead, status: 500};
const connectionLost = {reason: AttemptFailureReason.ConnectionLost, detail: 'socket hang up', wasConnectionReused: false};
const connectionRefused = {reason: AttemptFailureReason.Refused, detail: 'connect ECONNREFUSED', wasConnectionReused: false};
const invalidResponse = {reason: AttemptFailureReason.InvalidResponse, detail: 'the response belongs to another request', wasConnectionReused: false};

type HedgedLookup = {
	readonly fixture: LookupFixture;
	readonly first: ResponseListener;
	readonly second: ResponseListener;
};

/** Starts a lookup whose first server is silent, so that a second attempt runs beside the first. */
function startHedged(ids: readonly string[] = ['a', 'b'], maxExecutions = 2): HedgedLookup {
	const fixture = startLookup(5, ids, maxExecutions);
	fixture.timers.advance(responseTimeout);
	return {fixture, first: fixture.sent[0].listener, second: fixture.sent[1].listener};
}

function getServers({sent}: LookupFixture): readonly string[] {
	return sent.map(({attempt}) => attempt.server.id);
}

function respond(listener: ResponseListener, head = sampleResponseHead, body = ''): void {
	listener.onHead(head);
	if (body !== '') {
		listener.onData(new TextEncoder().encode(body));
	}

	listener.onEnd();
}

/** Returns the log lines of attempts and answers, each with the index in `sent` of its server, without those that were sent. */
function getLines(fixture: LookupFixture): readonly string[] {
	const lines = fixture.log.lines.filter(({kind, fields}) => kind !== 'request.sent' && 'server' in fields);
	return lines.map(({kind, fields}) => `${kind} ${getServers(fixture).indexOf(String(fields.server))}`);
}

/** Leaves no retry in the budget of the service. */
function exhaustBudget({dependencies}: LookupFixture): void {
	dependencies.retryBudgets.forService('records').setMinimum(0);
}

// Guards against a silent lookup that occupies one server only in the load, and against one that waits for two dead servers although its route allows a third.
test('a silent lookup runs at as many different servers as its route allows, and all count in the load', t => {
	for (const maxExecutions of [2, 3]) {
		const {fixture} = startHedged(['a', 'b', 'c', 'd'], maxExecutions);
		fixture.timers.advance(5000);
		t.is(new Set(getServers(fixture)).size, maxExecutions);
		t.is(fixture.sent.length, maxExecutions);
		t.is(fixture.runningRequests, maxExecutions);
		t.deepEqual(fixture.cancelled, []);
	}
});

// Guards against a complete answer that is thrown away for a server that is silent or rejects the lookup.
test('a complete answer that only its connection delimits is passed on if no other server may be tried, or if the others fail', t => {
	const undelimited = {...sampleResponseHead, isSelfDelimited: false};
	const limited = startHedged();
	respond(limited.second, undelimited, 'whole');
	t.is(limited.fixture.reply.text, 'whole');
	t.deepEqual(limited.fixture.cancelled, [0]);

	const {fixture, first, second} = startHedged(['a', 'b', 'c'], 3);
	respond(second, undelimited, 'whole');
	t.is(fixture.sent.length, 3);
	respond(fixture.latest, rejection);
	first.onFailure(connectionLost);
	while (!fixture.exchange.isDone && fixture.sent.length < 10) {
		respond(fixture.latest, rejection);
	}

	t.is(fixture.reply.text, 'whole');
	t.is(fixture.reply.failure, undefined);
});

// Guards against a complete answer that is replaced by an error or a failure, in whatever order the others end.
test('a complete answer that only its connection delimits is kept through retries, errors and a quarantine', t => {
	const undelimited = {...sampleResponseHead, isSelfDelimited: false};
	const large = startHedged(['a', 'b', 'c'], 3);
	respond(large.second, undelimited, 'whole');
	large.first.onFailure(connectionLost);
	large.fixture.latest.onHead(serverError);
	large.fixture.latest.onData(new Uint8Array(2000));

	const empty = startHedged(['a', 'b'], 3);
	respond(empty.second, undelimited, 'whole');

	const last = startHedged(['a', 'b', 'c'], 3);
	last.first.onFailure(connectionLost);
	respond(last.second, undelimited, 'whole');
	last.fixture.latest.onFailure(connectionLost);

	const exhausted = startHedged(['a', 'b', 'c'], 3);
	exhaustBudget(exhausted.fixture);
	respond(exhausted.second, undelimited, 'whole');

	const quarantined = startHedged(['a', 'b', 'c'], 3);
	respond(quarantined.second, undelimited, 'whole');
	quarantined.fixture.exchange.endQuarantined(new Failure(ResultCode.RequestQuarantined, 'the request is quarantined', Execution.NotRun, 600));

	const missing = startHedged(['a', 'b'], 2);
	respond(missing.second, {...undelimited, status: 404}, 'whole');
	for (const {fixture} of [large, empty, last, exhausted, quarantined, missing]) {
		t.is(fixture.reply.text, 'whole');
		t.is(fixture.reply.failure, undefined);
		t.is(fixture.runningRequests, 0);
	}
});

// Guards against an error response in hand that is replaced by a failure of this instance.
test('an error response is passed on at the deadline and at shutdown if the silent server has not answered', t => {
	const expired = startHedged();
	respond(expired.second, serverError, 'error');
	expired.fixture.timers.advance(25_000);
	t.is(expired.fixture.reply.text, 'error');

	const stopped = startHedged();
	respond(stopped.second, serverError, 'error');
	stopped.fixture.exchange.abort('the instance is shutting down');
	t.is(stopped.fixture.reply.text, 'error');
	for (const {fixture} of [expired, stopped]) {
		t.is(fixture.reply.failure, undefined);
		t.deepEqual(fixture.cancelled, [0]);
		t.is(fixture.runningRequests, 0);
	}
});

// Guards against a sound lookup that counts as one that crashes servers, because a silent attempt and the one beside it were lost together.
test('a silent attempt of a lookup that is lost is no second sign of a crash', t => {
	const {fixture, first, second} = startHedged(['a', 'b', 'c'], 3);
	first.onFailure(connectionLost);
	second.onFailure(connectionLost);
	t.is(fixture.sent.length, 3);
	t.is(fixture.reply.failure, undefined);
});

// Guards against a lookup that is lost because each other server rejects it, and against rejected attempts that stay in the load.
test('a silent lookup whose other servers reject it repeatedly is answered by its first server', t => {
	const {fixture, first} = startHedged();
	for (let count = 0; count < 10; count++) {
		if (fixture.runningRequests === 2) {
			respond(fixture.latest, rejection);
		}

		t.is(fixture.runningRequests, 1);
		fixture.timers.advance(responseTimeout);
	}

	t.deepEqual(getServers(fixture).slice(1), ['', '', '', ''].map(() => getServers(fixture)[1]));
	t.deepEqual(fixture.cancelled, []);
	respond(first, sampleResponseHead, 'first');
	t.is(fixture.reply.text, 'first');
	t.true(fixture.reply.isEnded);
	t.is(fixture.runningRequests, 0);
});

// Guards against a lookup that waits for a dead server until its deadline because the second server rejected it once.
test('a lookup whose first server never responds is sent to a third one at once after a rejection by the second', t => {
	const {fixture, second} = startHedged(['a', 'b', 'c']);
	respond(second, rejection);
	t.is(new Set(getServers(fixture)).size, 3);
	respond(fixture.latest);
	t.true(fixture.reply.isEnded);
	t.deepEqual(fixture.cancelled, [0]);
});

// Guards against a lookup that is lost with a second server that hangs, and against a hung attempt that goes on after the reply.
test('a lookup whose second server never answers is answered by its first', t => {
	for (const [delay, isSecondSilent] of [[responseTimeout - 1, false], [responseTimeout, true]] as const) {
		const {fixture, first} = startHedged();
		fixture.timers.advance(delay);
		respond(first);
		t.true(fixture.reply.isEnded);
		t.deepEqual(fixture.cancelled, [1]);
		t.is(fixture.runningRequests, 0);
		t.deepEqual(fixture.lossesOf, isSecondSilent ? [getServers(fixture)[1]] : []);
	}
});

// Guards against a late answer that finds no exchange, and against a silence that nobody records.
test('a lookup whose second server answers late is answered by it, and the silence of the first is recorded', t => {
	const {fixture, second} = startHedged();
	fixture.timers.advance(5000);
	t.deepEqual(fixture.lossesOf, []);
	respond(second);
	t.true(fixture.reply.isEnded);
	t.deepEqual(fixture.cancelled, [0]);
	t.deepEqual(fixture.lossesOf, [getServers(fixture)[0]]);
	t.is(fixture.runningRequests, 0);
});

// Guards against a server that goes on after a silence and is given up for a head without a body.
for (const isFirstEarlier of [true, false]) {
	test(`a first server that goes on ${isFirstEarlier ? 'before' : 'after'} the second has a head answers if it is complete first`, t => {
		const {fixture, first, second} = startHedged();
		for (const listener of isFirstEarlier ? [first, second] : [second, first]) {
			listener.onHead(sampleResponseHead);
			listener.onData(new TextEncoder().encode(listener === first ? 'first' : 'second'));
		}

		t.deepEqual(fixture.cancelled, []);
		t.false(fixture.reply.isStarted);
		first.onEnd();
		t.is(fixture.reply.text, 'first');
		t.true(fixture.reply.isEnded);
		t.deepEqual(fixture.cancelled, [1]);
		t.deepEqual(fixture.lossesOf, [], 'an attempt with a head is not silent');
	});
}

// Guards against replies that mix the bodies of two answers or come twice.
test('of two answers the first complete one is passed on, and nothing of the other', t => {
	const {fixture, first, second} = startHedged();
	first.onHead({...sampleResponseHead, status: 201});
	first.onData(new TextEncoder().encode('first'));
	respond(second, sampleResponseHead, 'second');
	t.is(fixture.reply.text, 'second');
	t.true(fixture.reply.isEnded);
	t.deepEqual(fixture.cancelled, [0]);
	t.deepEqual(getLines(fixture).slice(-3), ['request.hedged 0', 'request.attempt_cancelled 0', 'request.answered 1']);
});

// Guards against attempts that go on for a caller that left.
test('when the caller leaves, both attempts are cancelled', t => {
	const {fixture} = startHedged();
	fixture.reply.leave();
	t.deepEqual(fixture.cancelled, [0, 1]);
	t.is(fixture.runningRequests, 0);
	fixture.timers.advance(5000);
	t.is(fixture.sent.length, 2);
});

// Guards against a promise that a lookup did not run although two servers may run it, and against attempts that go on after the reply.
test('at the deadline and at shutdown both attempts are cancelled, and the execution is unknown', t => {
	for (const isShutdown of [true, false]) {
		const {fixture} = startHedged();
		if (isShutdown) {
			fixture.exchange.abort('shutdown');
		} else {
			fixture.timers.advance(20_000);
		}

		t.deepEqual(fixture.cancelled, [0, 1]);
		t.is(fixture.reply.failure?.execution, Execution.Unknown);
		t.is(fixture.runningRequests, 0);
	}
});

// Guards against a quarantined request that goes on at one of its servers, and against the loss of an answer that has begun to arrive.
test('when a request is quarantined, its attempts without a head are cancelled', t => {
	const refusal = new Failure(ResultCode.RequestQuarantined, 'the request is quarantined', Execution.NotRun, 600);
	const silent = startHedged().fixture;
	silent.exchange.endQuarantined(refusal);
	t.deepEqual(silent.cancelled, [0, 1]);
	t.is(silent.reply.failure?.execution, Execution.Unknown);

	const {fixture, second} = startHedged();
	second.onHead(sampleResponseHead);
	fixture.exchange.endQuarantined(refusal);
	t.deepEqual(fixture.cancelled, [0]);
	second.onEnd();
	t.true(fixture.reply.isEnded);
});

// Guards against more executions than the route allows.
test('at the limit of executions no second attempt is sent, also after the second one was lost', t => {
	const single = startLookup(5, ['a', 'b'], 1);
	single.timers.advance(5000);
	t.is(single.sent.length, 1);
	respond(single.latest);
	t.true(single.reply.isEnded);

	const {fixture, first, second} = startHedged(['a', 'b', 'c']);
	second.onFailure(invalidResponse);
	fixture.timers.advance(5000);
	t.is(fixture.sent.length, 2);
	respond(first);
	t.true(fixture.reply.isEnded);
	t.deepEqual(fixture.cancelled, []);
});

// Guards against second attempts beyond the retry budget, and against a silent attempt that is given up although no second one may be sent.
test('at the end of the retry budget a silent lookup goes on with its server', t => {
	const fixture = startLookup(5, ['a', 'b']);
	exhaustBudget(fixture);
	fixture.timers.advance(5000);
	t.is(fixture.sent.length, 1);
	t.deepEqual(fixture.cancelled, []);
	respond(fixture.latest);
	t.true(fixture.reply.isEnded);
});

// Guards against second attempts that take nothing from the retry budget.
test('a second attempt takes a retry from the budget', t => {
	const fixture = startLookup(5, ['a', 'b']);
	const budget = fixture.dependencies.retryBudgets.forService('records');
	budget.setMinimum(1);
	fixture.timers.advance(responseTimeout);
	t.is(fixture.sent.length, 2);
	t.false(budget.tryAcquire(fixture.timers.now(), RetryUrgency.Begun));
});

// Guards against a refused connection that counts as an execution, and against a promise that a lookup did not run although a lost attempt may have.
test('a lookup whose second connection is refused goes on with its first server, and did not run if that one rejects it', t => {
	const answered = startHedged();
	answered.second.onFailure(connectionRefused);
	t.is(answered.fixture.runningRequests, 1);
	respond(answered.first);
	t.true(answered.fixture.reply.isEnded);
	t.deepEqual(answered.fixture.cancelled, []);

	for (const [failure, execution] of [[connectionRefused, Execution.NotRun], [connectionLost, Execution.Unknown]] as const) {
		const {fixture, first, second} = startHedged();
		exhaustBudget(fixture);
		second.onFailure(failure);
		t.is(fixture.reply.failure, undefined);
		respond(first, rejection);
		t.is(fixture.reply.failure?.execution, execution);
	}
});

// Guards against a promise that a lookup did not run while an attempt of it is in progress.
test('a lookup that one server rejected and another one holds at the deadline may have run', t => {
	for (const index of [0, 1]) {
		const {fixture} = startHedged();
		exhaustBudget(fixture);
		respond(fixture.sent[index].listener, rejection);
		fixture.timers.advance(20_000);
		t.deepEqual(fixture.cancelled, [1 - index]);
		t.is(fixture.reply.failure?.execution, Execution.Unknown);
	}
});

// Guards against a lookup that fails with its two attempts although the route allows another one.
test('a lookup is retried when its two attempts have failed, if the route allows it', t => {
	const {fixture, first, second} = startHedged(['a', 'b', 'c'], 3);
	second.onFailure(invalidResponse);
	first.onFailure(invalidResponse);
	t.is(new Set(getServers(fixture)).size, 3);
	respond(fixture.latest);
	t.true(fixture.reply.isEnded);
});

// Guards against an error that is passed on while another server may still answer.
for (const [name, body] of [['small', 'error'], ['large', 'error'.repeat(1000)]]) {
	test(`an error response of one server is not passed on while another one may answer (${name})`, t => {
		for (const index of [0, 1]) {
			const {fixture} = startHedged();
			const {listener} = fixture.sent[index];
			listener.onHead(serverError);
			listener.onData(new TextEncoder().encode(body));
			if (name === 'small') {
				listener.onEnd();
			}

			t.false(fixture.reply.isStarted);
			t.is(fixture.runningRequests, 1);
			t.deepEqual(fixture.cancelled, name === 'small' ? [] : [index]);
			respond(fixture.sent[1 - index].listener, sampleResponseHead, 'answer');
			t.is(fixture.reply.text, 'answer');
			t.true(fixture.reply.isEnded);
		}
	});
}

// Guards against an error response that the caller does not get although nothing better came, and against one that is cut.
test('if both attempts end without an answer, the complete error response of one is passed on', t => {
	for (const index of [0, 1]) {
		const {fixture} = startHedged();
		respond(fixture.sent[index].listener, serverError, 'error');
		fixture.sent[1 - index].listener.onFailure(connectionLost);
		t.is(fixture.reply.text, 'error');
		t.true(fixture.reply.isEnded);
	}

	const {fixture, first, second} = startHedged();
	second.onHead(serverError);
	second.onData(new Uint8Array(5000));
	first.onFailure(connectionLost);
	t.false(fixture.reply.isStarted);
	t.is(fixture.reply.failure?.execution, Execution.Unknown);
});

// Guards against an earlier error response in place of the last one's outcome.
test('an error response is not passed on any more after the lookup was retried', t => {
	const {fixture, first, second} = startHedged(['a', 'b', 'c'], 3);
	respond(second, serverError, 'error');
	first.onFailure(invalidResponse);
	t.is(fixture.sent.length, 3);
	fixture.latest.onFailure(connectionLost);
	t.false(fixture.reply.isStarted);
	t.is(fixture.reply.failure?.execution, Execution.Unknown);
});

// Guards against second attempts for responses that are arriving.
test('a lookup whose server has sent a head is not sent to a second one', t => {
	const fixture = startLookup(5, ['a', 'b']);
	fixture.latest.onHead(sampleResponseHead);
	fixture.timers.advance(5000);
	t.is(fixture.sent.length, 1);
});

// Guards against a large reply whose rest comes from another attempt, and against backpressure on the wrong one.
test('a response that outgrows the buffer is passed on from then on, with backpressure, and the other attempt is cancelled', t => {
	for (const index of [0, 1]) {
		const {fixture} = startHedged();
		const {listener} = fixture.sent[index];
		fixture.reply.isSlow = true;
		listener.onHead(sampleResponseHead);
		listener.onData(new Uint8Array(1000));
		t.deepEqual(fixture.cancelled, []);
		listener.onData(new Uint8Array(1));
		t.true(fixture.reply.isStarted);
		t.deepEqual(fixture.cancelled, [1 - index]);
		t.deepEqual(fixture.paused, [index]);
		fixture.reply.drain();
		t.deepEqual(fixture.resumed, [index]);
		listener.onData(new Uint8Array(7));
		listener.onEnd();
		t.is(fixture.reply.text.length, 1008);
		t.true(fixture.reply.isEnded);
	}
});

// Guards against a reply that looks complete although the response that it passes on was lost.
test('a large response that is interrupted cuts the reply', t => {
	const {fixture, second} = startHedged();
	second.onHead(sampleResponseHead);
	second.onData(new Uint8Array(2000));
	second.onFailure(connectionLost);
	t.true(fixture.reply.isAborted);
	t.false(fixture.reply.isEnded);
	t.is(fixture.sent.length, 2);
	t.is(fixture.runningRequests, 0);
});
