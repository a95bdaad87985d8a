import test, {type ExecutionContext} from 'ava';
import {RetryBudget} from '../src/admission/retry-budget.js';
import {RetryUrgency} from '../src/admission/retry-urgency.js';
import {type SendResult} from '../src/actions/send-result.js';
import {RequestKind} from '../src/catalog/request-kind.js';
import {PlainDispatcher, type PlainDispatcherDependencies} from '../src/plain/plain-dispatcher.js';
import {type PlainRequest} from '../src/plain/plain-request.js';
import {AttemptFailureReason} from '../src/relay/attempt-failure.js';
import {Execution} from '../src/results/execution.js';
import {Failure} from '../src/results/failure.js';
import {ResultCode} from '../src/results/result-code.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {
	sampleResponseHead, StreamExchangeFixture, type ExchangeFixture,
} from './support/exchange-fixture.js';
import {startLookup} from './support/lookup-fixture.js';
import {sampleServer} from './support/sample-fleet.js';

const range = {from: 0, to: 80};
const pipeline = [{server: sampleServer('first', 'large', range), range}];
const otherPipeline = [{server: sampleServer('second', 'large', range, {address: '10.0.0.2:1'}), range}];
const rejection = {...sampleResponseHead, status: 503, isNotExecuted: true};
const connectionLost = {reason: AttemptFailureReason.ConnectionLost, detail: 'socket hang up', wasConnectionReused: false};
const firstEvent = new TextEncoder().encode('id: 1\ndata: first\n\n');

function exhaustBudget({retryBudget, timers}: ExchangeFixture): void {
	while (retryBudget.tryAcquire(timers.now(), RetryUrgency.Begun)) {
		// Other requests take all retries.
	}
}

function startStream(): StreamExchangeFixture {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = pipeline;
	fixture.start();
	exhaustBudget(fixture);
	return fixture;
}

function beginReply(fixture: StreamExchangeFixture): void {
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onData(firstEvent);
}

function reject({latest}: ExchangeFixture): void {
	latest.onHead(rejection);
	latest.onEnd();
}

/** Returns the reason of the final failure, which an aborted reply does not carry. */
function getReason({log}: ExchangeFixture): string {
	return String(log.lines.find(({kind}) => kind === 'request.failed')?.fields.reason);
}

/** Checks that the log and the counter name one denied retry. */
function checkDenial(t: ExecutionContext, {log, dependencies: {metrics}}: ExchangeFixture, kind: RequestKind, isBegun: boolean): void {
	const denials = log.lines.filter(line => line.kind === 'request.retry_denied');
	t.deepEqual(denials.map(({fields}) => fields.isBegun), [isBegun]);
	t.is(metrics.getCount('siskinnotch_retries_denied', {kind}), 1);
}

// Guards against a stream that lacks a retry and whose log says that it lacked a pipeline, and against a line for each time that it is tried.
test('a stream that ends because the retry budget is exhausted says so, once', t => {
	const begun = startStream();
	beginReply(begun);
	begun.latest.onFailure(connectionLost);
	begun.timers.advance(2000);
	t.true(begun.reply.isAborted);
	t.is(getReason(begun), 'the retry budget was exhausted');
	checkDenial(t, begun, RequestKind.Streaming, true);

	const rejected = startStream();
	reject(rejected);
	rejected.timers.advance(2000);
	t.is(rejected.reply.failure?.code, ResultCode.NoPipeline);
	t.is(rejected.reply.failure?.message, 'the retry budget was exhausted');
	checkDenial(t, rejected, RequestKind.Streaming, false);
});

test('a stream that ends because no pipeline has capacity says so, whatever the retry budget', t => {
	const fixture = startStream();
	fixture.pipeline = undefined;
	reject(fixture);
	fixture.timers.advance(2000);
	t.is(getReason(fixture), 'no pipeline had capacity in time');
	t.is(fixture.dependencies.metrics.getCount('siskinnotch_retries_denied', {kind: RequestKind.Streaming}), 0);
});

test('a stream that was denied a retry, and then lacks a pipeline, says what was missing last', t => {
	const fixture = startStream();
	reject(fixture);
	fixture.timers.advance(500);
	fixture.pipeline = undefined;
	fixture.timers.advance(1000);
	t.is(getReason(fixture), 'no pipeline had capacity in time');
	checkDenial(t, fixture, RequestKind.Streaming, false);
});

// Guards against a silent stream that lacks a retry and whose log says that it lacked a pipeline.
test('a silent stream that is refused because the retry budget is exhausted says so, once', t => {
	const fixture = startStream();
	fixture.pipeline = otherPipeline;
	for (let count = 0; count < 20; count++) {
		fixture.timers.advance(100);
		fixture.exchange.hedge(undefined, 'no event');
	}

	t.is(getReason(fixture), 'no event arrived, and the retry budget was exhausted');
	checkDenial(t, fixture, RequestKind.Streaming, false);
});

// Guards against a plain request that fails for want of a retry and names only its last server.
test('a plain request that ends because the retry budget is exhausted says so, once', t => {
	const rejected = startLookup(5, ['a', 'b']);
	exhaustBudget(rejected);
	reject(rejected);
	t.is(rejected.reply.failure?.execution, Execution.NotRun);
	t.regex(rejected.reply.failure?.message ?? '', /, and the retry budget was exhausted$/v);
	checkDenial(t, rejected, RequestKind.Idempotent, false);

	const silent = startLookup(5, ['a', 'b']);
	exhaustBudget(silent);
	silent.timers.advance(15_000);
	t.is(silent.sent.length, 1);
	checkDenial(t, silent, RequestKind.Idempotent, false);
});

/** Sends a plain request through the product's own interface to servers that all give the same result. */
async function dispatch(result: SendResult, retryBudget: RetryBudget): Promise<Failure> {
	const servers = ['a', 'b', 'c', 'd'].map(id => ({listed: {id, address: id}, isSuspect: false}));
	const timers = new ManualTimerService();
	const dispatcher = new PlainDispatcher({ // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		service: {call: async () => result},
		fleet: {
			findUsableServers: () => servers, recordStart: () => undefined, recordEnd: () => undefined, markSuspect: () => undefined,
		},
		retryBudget,
		tracing: {runInSpan: async (_name: string, _fields: unknown, work: () => Promise<unknown>) => work(), inject: () => ({})},
		timers,
		random: {nextFraction: () => 0},
		callTimeout: 1000,
	} as unknown as PlainDispatcherDependencies);
	const outcome = dispatcher.dispatch({ // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		id: 'request', operation: {name: 'find', service: 'records', isIdempotent: true}, workspace: {name: 'desk'}, body: '', key: '', deadline: 5000,
	} as PlainRequest);
	const clock = setInterval(() => {
		timers.advance(1);
	}, 1);
	try {
		await outcome;
	} catch (error) {
		if (error instanceof Failure) {
			return error;
		}
	} finally {
		clearInterval(clock);
	}

	throw new Error('the request did not fail');
}

// Guards against a denied retry of the own interface that is reported as a failure of the backend server.
test('a plain request of the own interface that ends because the retry budget is spent has the code of that', async t => {
	const result = {execution: Execution.NotRun, reason: 'connection refused'};
	const denied = await dispatch(result, new RetryBudget(0, 0));
	t.is(denied.code, ResultCode.RetryBudgetSpent);
	t.is(denied.message, 'connection refused, and the retry budget is spent');
	t.is(denied.execution, Execution.NotRun);
	t.true((denied.retryAfterSeconds ?? 0) > 0);
	const failed = await dispatch(result, new RetryBudget(0, 100));
	t.is(failed.code, ResultCode.BackendFailed);
	t.is(failed.message, 'connection refused');
});
