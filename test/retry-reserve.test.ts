import test from 'ava';
import fc from 'fast-check';
import {RetryBudget} from '../src/admission/retry-budget.js';
import {RetryUrgency} from '../src/admission/retry-urgency.js';
import {AttemptFailureReason} from '../src/relay/attempt-failure.js';
import {StreamCommandKind} from '../src/routing/stream-command.js';
import {StreamEventKind} from '../src/routing/stream-event.js';
import {sampleResponseHead, StreamExchangeFixture} from './support/exchange-fixture.js';
import {
	close, createFrame, getNewRoute, receive, startRecovery,
} from './support/recovery-fixture.js';
import {sampleServer} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

const range = {from: 0, to: 80};
const encoder = new TextEncoder();

function countRetries(budget: RetryBudget, urgency: RetryUrgency, now = 0): number {
	let count = 0;
	while (budget.tryAcquire(now, urgency)) {
		count++;
	}

	return count;
}

function createStream(): StreamExchangeFixture {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = [{server: sampleServer('first', 'large', range), range}];
	fixture.start();
	return fixture;
}

// Guards against a begun reply that is cut while pipelines are free, because requests that were only rejected took all retries.
test('a begun stream that loses its connection is sent again at once when rejected streams have used up their retries', t => {
	const begun = createStream();
	const budget = begun.retryBudget;
	budget.setMinimum(4);
	begun.latest.onHead(sampleResponseHead);
	begun.latest.onData(encoder.encode('id: 1\ndata: first\n\n'));
	const rejected = createStream();
	rejected.dependencies.retryBudgets.forService = () => budget;
	for (let rejections = 1; rejections <= 4; rejections++) {
		rejected.latest.onHead({...sampleResponseHead, status: 503, isNotExecuted: true});
		rejected.latest.onEnd();
	}

	begun.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'socket hang up', wasConnectionReused: false});
	t.is(begun.sent.length, 2);
	t.is(rejected.sent.length, 4, 'one retry is kept');
});

// Guards against a hedge that takes the retry that begun replies need.
test('a silent stream that has begun does not take the reserve for a second attempt beside the first', t => {
	const fixture = createStream();
	fixture.retryBudget.setMinimum(4);
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onData(encoder.encode('id: 1\ndata: first\n\n'));
	countRetries(fixture.retryBudget, RetryUrgency.Ordinary);
	fixture.pipeline = [{server: sampleServer('second', 'large', range, {address: '10.0.0.2:1'}), range}];
	fixture.exchange.hedge(undefined, 'no event');
	t.is(fixture.sent.length, 1);
	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'socket hang up', wasConnectionReused: false});
	t.is(fixture.sent.length, 2);
});

test('a tenth of the retries, and at least one of two, is kept for replies that have begun; their total does not grow', t => {
	for (const [minimum, ordinary, urgent] of [[0.9, 0, 0], [1, 1, 0], [1.9, 1, 0], [2, 1, 1], [4.5, 3, 1], [19, 18, 1], [20, 18, 2], [100, 90, 10]] as const) {
		const budget = new RetryBudget(0, minimum);
		t.is(countRetries(budget, RetryUrgency.Ordinary), ordinary, `${minimum}`);
		t.is(countRetries(budget, RetryUrgency.Begun), urgent, `${minimum}`);
		const plain = new RetryBudget(0, minimum, 10_000, 0);
		t.is(countRetries(plain, RetryUrgency.Ordinary), ordinary + urgent, `${minimum}, nothing is kept`);
	}
});

test('in any order of requests and retries, the retries of a window stay within the budget, and ordinary ones within what is not kept', t => {
	const events = fc.array(fc.tuple(fc.option(fc.constantFrom(RetryUrgency.Begun, RetryUrgency.Ordinary), {nil: undefined}), fc.integer({min: 0, max: 2000})), {maxLength: 200, size: 'max'});
	fc.assert(fc.property(events, list => {
		const budget = new RetryBudget(0.2, 3);
		const requests: number[] = [];
		const retries: number[] = [];
		let now = 0;
		for (const [urgency, pause] of list) {
			now += pause;
			const since = now - 10_000;
			if (urgency === undefined) {
				budget.recordRequest(now);
				requests.push(now);
				continue;
			}

			const allowed = 3 + (0.2 * requests.filter(at => at > since).length);
			const kept = urgency === RetryUrgency.Begun ? 0 : 1;
			const used = retries.filter(at => at > since).length;
			const isAcquired = budget.tryAcquire(now, urgency);
			t.false(isAcquired && used + 1 > allowed - kept);
			t.false(urgency === RetryUrgency.Begun && !isAcquired && used + 1 <= allowed);
			if (isAcquired) {
				retries.push(now);
			}
		}
	}), {seed: seed()});
});

// Guards against an answer of the own interface that ends although a retry is kept for it, and against second attempts that take it.
test('the own interface says which retries continue an answer that has begun', t => {
	const urgencies: RetryUrgency[] = [];
	const recovery = startRecovery({
		tryAcquireRetry(urgency) {
			urgencies.push(urgency);
			return true;
		},
	});
	close(recovery, 1, 10, 'a1');
	t.deepEqual(urgencies, [], 'the first retry needs no budget');
	close(recovery, 2, 20, 'b1');
	t.deepEqual(urgencies, [RetryUrgency.Ordinary]);
	const commands = recovery.handle({kind: StreamEventKind.Tick}, 200);
	const run = commands.find(command => command.kind === StreamCommandKind.Run);
	t.deepEqual(getNewRoute(commands), ['a2', 'b2']);
	receive(recovery, run!.connection, [createFrame(run!.attempt, 0)], 210);
	t.is(recovery.delivered, 1);
	close(recovery, run!.connection, 220, 'a2');
	t.deepEqual(urgencies, [RetryUrgency.Ordinary, RetryUrgency.Begun]);
});
