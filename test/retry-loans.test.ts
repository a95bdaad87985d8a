import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {createTRPCClient, httpLink} from '@trpc/client';
import {initTRPC} from '@trpc/server';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import test from 'ava';
import fc from 'fast-check';
import {loanLifetimeMs, RetryBorrowing, type LoanRequest} from '../src/admission/retry-borrowing.js';
import {RetryBudget} from '../src/admission/retry-budget.js';
import {RetryUrgency} from '../src/admission/retry-urgency.js';
import {Metrics} from '../src/observation/metrics.js';
import {GossipClients} from '../src/peers/gossip-clients.js';
import {gossipMessageSchema, type GossipMessage} from '../src/peers/gossip-message.js';
import {createGossipProcedures, type GossipProcedures} from '../src/peers/gossip-procedures.js';
import {RetryLoans, type RetryLoansDependencies} from '../src/peers/retry-loans.js';
import {AttemptFailureReason} from '../src/relay/attempt-failure.js';
import {Execution} from '../src/results/execution.js';
import {RandomSource} from '../src/routing/random-source.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {sampleResponseHead, StreamExchangeFixture} from './support/exchange-fixture.js';
import {startLookup} from './support/lookup-fixture.js';
import {RetryFleet, RetryNeed, RetrySharing} from './support/retry-fleet.js';
import {RecordingLog, sampleServer} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

const windowMs = 10_000;
const neighbour = {peers: 'near:1', availabilityZone: 'zone-a'};
const distant = {peers: 'far:1', availabilityZone: 'zone-b'};
const range = {from: 0, to: 80};

function exhaust(budget: RetryBudget, now: number, urgency = RetryUrgency.Begun): number {
	let count = 0;
	while (budget.tryAcquire(now, urgency)) {
		count++;
	}

	return count;
}

function createBorrowing(lenders = [neighbour]): RetryBorrowing {
	return new RetryBorrowing('zone-a', () => lenders, new RandomSource(seed()));
}

test('an instance lends at most half of what is free, keeps its reserve, and does without what it lent for the window and the lifetime of the loan', t => {
	for (const [minimum, lent] of [[1, 0], [1.9, 0], [2, 1], [4, 2], [9.5, 4], [100, 50]] as const) {
		t.is(new RetryBudget(0, minimum).lend(1000, loanLifetimeMs, 0), lent, `${minimum}`);
	}

	const budget = new RetryBudget(0, 8);
	t.is(budget.lend(2, loanLifetimeMs, 0), 2);
	t.is(exhaust(budget, 0, RetryUrgency.Ordinary), 5, 'one is kept for replies that have begun');
	t.is(budget.lend(2, loanLifetimeMs, 0), 0);
	t.is(exhaust(budget, 0), 1);
	t.is(exhaust(budget, windowMs + loanLifetimeMs - 1), 6);
	t.is(exhaust(budget, windowMs + loanLifetimeMs), 2);
});

test('a borrowed retry can be used until a second after it was asked for, and does not count in the borrower\'s budget', t => {
	const borrow = (receivedAt: number, usedAt: number) => {
		const borrowing = createBorrowing();
		const budget = new RetryBudget(0, 0);
		const request = borrowing.request('model', budget.countAvailable(0), 0)!;
		const loan = borrowing.receive(request.number, 1, receivedAt);
		if (loan) {
			budget.addBorrowed(loan.retries, loan.expiresAt);
		}

		return exhaust(budget, usedAt, RetryUrgency.Ordinary);
	};

	t.is(borrow(20, 20), 1);
	t.is(borrow(999, 999), 1);
	t.is(borrow(20, 1000), 0);
	t.is(borrow(1000, 1000), 0);
});

// Guards against replies that are cut although a retry was borrowed for them: a request that was only rejected must not take it.
test('a retry that was asked for a reply that has begun is kept for such replies, also if it was asked for another request first', t => {
	for (const first of [RetryUrgency.Begun, RetryUrgency.Ordinary]) {
		const borrowing = createBorrowing();
		const budget = new RetryBudget(0, 0);
		const request = borrowing.request('model', 0, 0, first)!;
		t.is(borrowing.request('model', 0, 1, RetryUrgency.Begun), undefined);
		const loan = borrowing.receive(request.number, 1, 5)!;
		budget.addBorrowed(loan.retries, loan.expiresAt, loan.urgency);
		t.is(budget.countAvailable(6), 0);
		t.false(budget.tryAcquire(6, RetryUrgency.Ordinary));
		t.true(budget.tryAcquire(6, RetryUrgency.Begun));
	}
});

// Guards against one service that starves another one of loans.
test('a service of which nothing can be borrowed does not delay the requests for another one', t => {
	const borrowing = createBorrowing();
	for (let now = 0; now < 10_000; now += 25) {
		const request = borrowing.request('model', 0, now);
		if (request) {
			borrowing.receive(request.number, 0, now + 5);
		}

		const other = borrowing.request('records', 0, now + 5)!;
		t.is(other.service, 'records');
		t.truthy(borrowing.receive(other.number, 1, now + 10));
	}
});

test('one request is in flight at a time, and the pause grows while there is nothing to borrow', t => {
	const borrowing = createBorrowing();
	const requestTimes: number[] = [];
	t.is(borrowing.request('model', 1, 0), undefined, 'a retry is left');
	for (let now = 0; now < 10_000; now++) {
		const request = borrowing.request('model', 0, now);
		const second = request && borrowing.request('records', 0, now);
		t.is(second, undefined);
		if (request) {
			requestTimes.push(now);
			borrowing.receive(request.number, 0, now);
		}
	}

	t.deepEqual(requestTimes.slice(0, 8), [0, 50, 150, 350, 750, 1550, 2350, 3150]);
	const request = borrowing.request('model', 0, 20_000)!;
	t.truthy(borrowing.receive(request.number, 1, 20_001));
	t.is(borrowing.receive(request.number, 1, 20_002), undefined, 'the same answer again');
	t.is(borrowing.request('model', 0, 20_024), undefined);
	t.truthy(borrowing.request('model', 0, 20_025));
	t.is(borrowing.receive(request.number, 1, 20_026), undefined, 'the answer to the request before');
});

test('an instance of the own availability zone is asked first, and any after it had nothing to lend', t => {
	const borrowing = createBorrowing([distant, neighbour, distant, distant]);
	const asked = new Set<string>();
	for (let now = 0; now < 20_000; now += 1000) {
		const request = borrowing.request('model', 0, now)!;
		t.true(now > 0 || request.lender === neighbour);
		asked.add(request.lender.peers);
		borrowing.receive(request.number, 0, now);
	}

	t.deepEqual(asked, new Set([neighbour.peers, distant.peers]));
	t.is(createBorrowing([]).request('model', 0, 0), undefined);
	t.is(createBorrowing([distant]).request('model', 0, 0)?.lender, distant);
});

type FleetEvent = {
	readonly kind: 'request' | 'retry' | 'exhaust' | 'ask' | 'lend' | 'answer' | 'lose';
	readonly instance: number;
	readonly urgency: RetryUrgency;
	readonly pause: number;
	/** Whether a message belongs to the call before the latest one of the instance. */
	readonly isOfEarlierCall: boolean;
};

type Call = {
	readonly borrower: number;
	readonly request: LoanRequest;
	/** What each delivery of the call brought. */
	readonly answers: number[];
};

/** Instances whose calls to each other are delivered late, repeatedly or not at all. */
class LendingModel {
	readonly requests: number[][];
	readonly retries: number[] = [];
	loans = 0;
	now = 0;
	private readonly budgets: readonly RetryBudget[];
	private readonly borrowings: readonly RetryBorrowing[];
	private readonly calls: Call[] = [];

	constructor(size: number, private readonly ratio: number, private readonly minimum: number) {
		const lenders = Array.from({length: size}, (_, index) => ({peers: `${index}`, availabilityZone: 'zone'}));
		this.requests = lenders.map(() => []);
		this.budgets = lenders.map(() => new RetryBudget(ratio, minimum, windowMs));
		this.borrowings = lenders.map(self => new RetryBorrowing('zone', () => lenders.filter(lender => lender !== self), new RandomSource(seed())));
	}

	apply({kind, instance, urgency, pause, isOfEarlierCall}: FleetEvent): void {
		this.now += pause;
		const budget = this.budgets[instance];
		if (kind === 'request') {
			budget.recordRequest(this.now);
			this.requests[instance].push(this.now);
		} else if (kind === 'retry' && budget.tryAcquire(this.now, urgency)) {
			this.retries.push(this.now);
		} else if (kind === 'exhaust') {
			this.retries.push(...Array.from({length: exhaust(budget, this.now, urgency)}, () => this.now));
		} else if (kind === 'ask') {
			const request = this.borrowings[instance].request('model', budget.countAvailable(this.now), this.now);
			if (request) {
				this.calls.push({borrower: instance, request, answers: []});
			}
		} else {
			const call = this.calls.filter(({borrower}) => borrower === instance).at(isOfEarlierCall ? -2 : -1);
			if (call) {
				this.deliver(kind, call);
			}
		}
	}

	/** Retries of the window that ends now. */
	countRetries(): number {
		return this.retries.filter(at => at > this.now - windowMs).length;
	}

	/** The sum of the largest shares that the instances had while a retry or loan of theirs may count in the window that ends now. */
	computeAllowed(): number {
		const largest = this.requests.map(times => {
			const ends = times.filter(at => at > this.now - windowMs - loanLifetimeMs);
			const counts = [this.now - windowMs - loanLifetimeMs, ...ends].map(end => times.filter(at => at > end - windowMs && at <= end).length);
			return Math.max(...counts);
		});
		return largest.reduce((sum, count) => sum + this.minimum + (this.ratio * count), 0);
	}

	private deliver(kind: FleetEvent['kind'], {borrower, request, answers}: Call): void {
		if (kind === 'lend') {
			answers.push(this.budgets[Number(request.lender.peers)].lend(request.retries, loanLifetimeMs, this.now));
			return;
		}

		const lent = kind === 'lose' ? 0 : answers.at(-1);
		const loan = lent === undefined ? undefined : this.borrowings[borrower].receive(request.number, lent, this.now);
		if (loan) {
			this.loans++;
			this.budgets[borrower].addBorrowed(loan.retries, loan.expiresAt);
		}
	}
}

// Guards against loans through which the retries of all instances exceed the budget of the fleet.
test('in any order of requests, retries, calls and answers that are late, lost or repeated, the retries of all instances stay within the sum of their shares', t => {
	const size = 3;
	let loans = 0;
	const events = fc.array(fc.record<FleetEvent>({
		kind: fc.constantFrom('request', 'retry', 'exhaust', 'ask', 'ask', 'ask', 'lend', 'lend', 'lend', 'answer', 'answer', 'answer', 'lose'),
		instance: fc.integer({min: 0, max: size - 1}),
		urgency: fc.constantFrom(RetryUrgency.Begun, RetryUrgency.Ordinary),
		isOfEarlierCall: fc.integer({min: 0, max: 5}).map(number => number === 0),
		pause: fc.oneof({weight: 80, arbitrary: fc.integer({min: 0, max: 30})}, {weight: 4, arbitrary: fc.integer({min: 0, max: 1000})}, {weight: 1, arbitrary: fc.integer({min: 8000, max: 11_500})}),
	}), {minLength: 50, maxLength: 300, size: 'max'});
	fc.assert(fc.property(events, fc.constantFrom(0, 0.2), fc.integer({min: 2, max: 10}), (list, ratio, minimum) => {
		const model = new LendingModel(size, ratio, minimum);
		for (const event of list) {
			model.apply(event);
			t.true(model.countRetries() <= model.computeAllowed() + 1e-9);
		}

		loans += model.loans;
	}), {seed: seed(), numRuns: 300});
	t.log(`${loans} loans`);
	t.true(loans > 100);
});

const gridLoad = {
	instances: 64, allowance: 198, requestsPerSecond: 3.5, rejectionRate: 0.1, unluckyFraction: 0.25,
};
const simulatedMs = 60_000;

// Guards against requests that end for want of a retry at some instances of a large fleet, while most of the fleet's retries are unused.
test('64 instances with few requests each: with loans nearly no request ends for want of a retry, and the retries stay within the fleet\'s budget', t => {
	for (const run of [0, 1, 2]) {
		const fixed = new RetryFleet(RetrySharing.Fixed, gridLoad, seed() + run);
		fixed.run(simulatedMs);
		const lent = new RetryFleet(RetrySharing.Lent, gridLoad, seed() + run);
		lent.run(simulatedMs);
		t.log(`fixed ${JSON.stringify(fixed.ended)}, lent ${JSON.stringify(lent.ended)} of ${JSON.stringify(lent.needed)}`);
		t.log(`largest use ${fixed.findLargestUse()} and ${lent.findLargestUse()}, ${lent.loanRequests} requests for ${lent.loans} loans`);
		t.true(fixed.ended[RetryNeed.RejectedStream] >= 10, 'the fault');
		t.true(fixed.findLargestUse() < 0.5, 'most retries are unused');
		t.is(lent.ended[RetryNeed.BegunStream], 0);
		t.true(fixed.ended[RetryNeed.PlainRequest] >= 10, 'the fault');
		for (const need of [RetryNeed.RejectedStream, RetryNeed.PlainRequest]) {
			const limit = 0.01 * lent.needed[need];
			t.true(lent.ended[need] <= limit);
		}

		t.true(lent.findLargestUse() <= 1);
		t.true(lent.loanRequests <= lent.retries, 'fewer calls than retries');
	}
});

test('64 instances of which a third of the attempts are rejected: the retries stay within the fleet\'s budget, and the requests for loans are bounded', t => {
	const fleet = new RetryFleet(RetrySharing.Lent, {...gridLoad, rejectionRate: 0.33}, seed());
	fleet.run(simulatedMs);
	t.log(`largest use ${fleet.findLargestUse()}, ${fleet.loanRequests} requests for loans, ${fleet.loans} loans, ${fleet.retries} retries`);
	t.true(fleet.findLargestUse() <= 1);
	// After a loan the pause grows from its shortest again, in five steps.
	t.true(fleet.loanRequests <= (gridLoad.instances * simulatedMs / 800) + (5 * fleet.loans));
	t.true(fleet.loanRequests <= 2 * gridLoad.instances * simulatedMs / 1000, 'two a second and instance');
});

type LoanSetup = {
	readonly loans: RetryLoans;
	readonly budget: RetryBudget;
	readonly calls: string[];
	readonly dependencies: RetryLoansDependencies;
	readonly log: RecordingLog;
};

function createLoans(changes: Partial<RetryLoansDependencies> = {}): LoanSetup {
	const budget = new RetryBudget(0, 0);
	const calls: string[] = [];
	const log = new RecordingLog();
	const dependencies: RetryLoansDependencies = {
		borrowing: createBorrowing(),
		clients: {
			async borrowRetries(address, call) {
				calls.push(`${address} ${call.service} ${call.retries} ${call.lifetime}`);
				return 1;
			},
		},
		findBudget: () => budget,
		isKnownService: service => service === 'model',
		lifecycle: {isDraining: false},
		timers: new ManualTimerService(),
		metrics: new Metrics(),
		log,
		onLoan() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		...changes,
	};
	return {
		loans: new RetryLoans(dependencies), budget, calls, dependencies, log,
	};
}

/** Lets answers that have arrived be handled. */
async function handleAnswers(): Promise<void> {
	await new ManualTimerService().handleInput();
}

// Guards against a stream that waits in the queue for its next try although a retry has arrived.
test('a begun stream whose instance has no retry left is sent again as soon as another instance has lent one', async t => {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = [{server: sampleServer('first', 'large', range), range}];
	const {loans, calls} = createLoans({
		findBudget: () => fixture.retryBudget, timers: fixture.timers, onLoan() {
			fixture.requestQueue.dispatchReady();
		},
	});
	Object.assign(fixture.dependencies.retryBudgets, {
		replenish(service: string, urgency: RetryUrgency) {
			loans.replenish(service, urgency);
		},
	});
	fixture.start();
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onData(new TextEncoder().encode('id: 1\ndata: first\n\n'));
	exhaust(fixture.retryBudget, fixture.timers.now());
	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'socket hang up', wasConnectionReused: false});
	t.is(fixture.sent.length, 1);
	await handleAnswers();
	t.is(fixture.sent.length, 2);
	t.deepEqual(calls, ['near:1 model 1 1000']);
});

test('an instance that stops borrows only for replies that have begun, and lends', async t => {
	const {loans, calls, budget} = createLoans({lifecycle: {isDraining: true}});
	loans.replenish('model', RetryUrgency.Ordinary);
	t.deepEqual(calls, []);
	loans.replenish('model', RetryUrgency.Begun);
	t.is(calls.length, 1);
	budget.setMinimum(10);
	t.is(loans.lend({service: 'model', retries: 1, lifetime: loanLifetimeMs}), 1);
	t.is(loans.lend({service: 'unknown', retries: 1, lifetime: loanLifetimeMs}), 0);
	await handleAnswers();
});

// Guards against a plain request that is refused although another instance has a retry for it.
test('a plain request whose instance has no retry left waits for one that another instance lends, and for a quarter of a second at most', async t => {
	const startRejected = (borrowRetries: () => Promise<number>) => {
		const fixture = startLookup(5, ['a', 'b']);
		const {loans} = createLoans({findBudget: () => fixture.retryBudget, timers: fixture.timers, clients: {borrowRetries}});
		Object.assign(fixture.dependencies.retryBudgets, {
			replenish(service: string, urgency: RetryUrgency) {
				loans.replenish(service, urgency);
			},
			mayBorrow: (urgency: RetryUrgency) => loans.mayBorrow(urgency),
		});
		exhaust(fixture.retryBudget, 0);
		fixture.latest.onHead({...sampleResponseHead, status: 503, isNotExecuted: true});
		fixture.latest.onEnd();
		return fixture;
	};

	const served = startRejected(async () => 1);
	t.is(served.reply.failure, undefined);
	await handleAnswers();
	served.timers.advance(25);
	t.is(served.sent.length, 2);
	served.latest.onHead(sampleResponseHead);
	served.latest.onEnd();
	t.true(served.reply.isEnded);

	const denied = startRejected(async () => 0);
	await handleAnswers();
	denied.timers.advance(249);
	t.is(denied.reply.failure, undefined);
	denied.timers.advance(1);
	t.is(denied.sent.length, 1);
	t.is(denied.reply.failure?.execution, Execution.NotRun);
	t.is(denied.log.lines.filter(({kind}) => kind === 'request.retry_denied').length, 1);

	const left = startRejected(async () => 0);
	left.reply.leave();
	left.timers.advance(1000);
	t.is(left.sent.length, 1);
	t.is(left.reply.failure, undefined);
});

async function listen(server: Server): Promise<string> {
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

const message: GossipMessage = {
	from: {id: 'a', availabilityZone: 'zone-a', peers: '10.0.0.1:1'}, tables: {}, updates: {}, loads: [], suspicions: [], ranges: [],
};

/** The procedures of an earlier build, which has no loans. */
function createEarlierProcedures() {
	const trpc = initTRPC.create();
	return trpc.router({exchange: trpc.procedure.input(gossipMessageSchema).mutation(({input}) => input)});
}

// Guards against an instance of an earlier build that disturbs the loans, or that can't be reached any more because of them.
test('an instance of an earlier build lends nothing, and messages are exchanged with it both ways', async t => {
	const timers = new ClockTimerService();
	const clients = new GossipClients(timers, 2000);
	const earlier = createServer(createHTTPHandler({router: createEarlierProcedures()}));
	const earlierAddress = await listen(earlier);
	const {loans, budget, dependencies, log} = createLoans({clients, timers, borrowing: createBorrowing([{peers: earlierAddress, availabilityZone: 'zone-a'}])});
	loans.replenish('model', RetryUrgency.Ordinary);
	while (!log.lines.some(({kind}) => kind === 'retries.not_borrowed')) {
		await timers.sleep(5); // eslint-disable-line no-await-in-loop
	}

	t.is(budget.countAvailable(timers.now()), 0);
	t.true(clients.traffic.bytes > 0, 'the call counts in the traffic');
	t.deepEqual(await clients.exchange(earlierAddress, message), message);
	t.truthy(dependencies.borrowing.request('model', 0, timers.now() + 1000), 'it is asked again');

	budget.setMinimum(10);
	const current = createServer(createHTTPHandler({router: createGossipProcedures({exchange: received => received}, loans)}));
	const currentAddress = await listen(current);
	const earlierClient = createTRPCClient<ReturnType<typeof createEarlierProcedures>>({links: [httpLink({url: `http://${currentAddress}`})]});
	t.deepEqual(await earlierClient.exchange.mutate(message), message);
	t.is(await clients.borrowRetries(currentAddress, {service: 'model', retries: 2, lifetime: loanLifetimeMs}), 2);
	const currentClient = createTRPCClient<GossipProcedures>({links: [httpLink({url: `http://${currentAddress}`})]});
	await t.throwsAsync(currentClient.lendRetries.mutate({service: 'model', retries: 1, lifetime: 1_000_000}));
	earlier.close();
	current.close();
});
