import {RetryBorrowing, loanLifetimeMs} from '../../src/admission/retry-borrowing.js';
import {RetryBudget} from '../../src/admission/retry-budget.js';
import {RetryUrgency} from '../../src/admission/retry-urgency.js';
import {maxRetryWaitMs} from '../../src/relay/plain/plain-retry-wait.js';
import {RandomSource} from '../../src/routing/random-source.js';
import {ManualTimerService} from '../../src/time/manual-timer-service.js';

/** How the instances share the retry budget. */
export enum RetrySharing {
	/** Each has a fixed share, which all retries may take. */
	Fixed = 'fixed',
	/** A part of each share is kept for replies that have begun, and shares are lent. */
	Lent = 'lent',
}

/** Kinds of requests that need a retry. */
export enum RetryNeed {
	/** A stream that was rejected, and waits in the queue. */
	RejectedStream = 'rejected_stream',
	/** A stream whose caller has events, and which waits longer. */
	BegunStream = 'begun_stream',
	/** A plain request, which waits for a loan only. */
	PlainRequest = 'plain_request',
}

/** What an instance receives and what becomes of it. */
export type FleetLoad = {
	readonly instances: number;
	/** Retries in a window that all instances may send beyond the ratio. */
	readonly allowance: number;
	readonly requestsPerSecond: number;
	/** Fraction of the attempts that are rejected, on average. */
	readonly rejectionRate: number;
	/** Fraction of the instances that get twice as many rejections as the others. */
	readonly unluckyFraction: number;
};

type Waiting = {
	readonly need: RetryNeed;
	readonly deadline: number;
};

type FleetInstance = {
	/** The budgets of the two services. */
	readonly streams: RetryBudget;
	readonly plain: RetryBudget;
	readonly borrowing: RetryBorrowing;
	readonly rejectionRate: number;
	waiting: readonly Waiting[];
};

type Service = 'streams' | 'plain';

const services: readonly Service[] = ['streams', 'plain'];
const ratio = 0.2;
const windowMs = 10_000;
/** Fraction of the allowance that the instances use together. */
const allowanceFraction = 0.7;
const tickMs = 40;
/** Fraction of the requests that are plain. */
const plainFraction = 0.3;
/** Fraction of the attempts of streams that lose their connection after an event. */
const lossFraction = 0.01;
/** Time from an attempt to its rejection or loss. */
const outcomeDelayMs = 5;
const waitMs = {[RetryNeed.RejectedStream]: 1100, [RetryNeed.BegunStream]: 1800, [RetryNeed.PlainRequest]: maxRetryWaitMs};
const maxMessageDelayMs = 20;
const lostMessageFraction = 0.02;

function getService(need: RetryNeed): Service {
	return need === RetryNeed.PlainRequest ? 'plain' : 'streams';
}

function countWithin(times: readonly number[], end: number): number {
	return times.filter(at => at > end - windowMs && at <= end).length;
}

/** Instances without a network that receive requests for a service of streams and a plain one, lose and retry them, and lend retries to each other. */
export class RetryFleet {
	/** Requests that ended for want of a retry. */
	readonly ended: Record<RetryNeed, number> = {[RetryNeed.RejectedStream]: 0, [RetryNeed.BegunStream]: 0, [RetryNeed.PlainRequest]: 0};
	/** Requests that needed a retry at least once. */
	readonly needed: Record<RetryNeed, number> = {[RetryNeed.RejectedStream]: 0, [RetryNeed.BegunStream]: 0, [RetryNeed.PlainRequest]: 0};
	loanRequests = 0;
	/** Loans that arrived in time. */
	loans = 0;
	private readonly timers = new ManualTimerService();
	private readonly random: RandomSource;
	private readonly instances: readonly FleetInstance[];
	private readonly requestTimes: Record<Service, number[]> = {streams: [], plain: []};
	private readonly retryTimes: Record<Service, number[]> = {streams: [], plain: []};

	constructor(private readonly sharing: RetrySharing, private readonly load: FleetLoad, randomSeed: number) {
		this.random = new RandomSource(randomSeed);
		const {instances: size, allowance, rejectionRate, unluckyFraction} = load;
		const lenders = Array.from({length: size}, (_, index) => ({peers: `${index}`, availabilityZone: 'zone'}));
		const usualRate = rejectionRate / (1 + unluckyFraction);
		this.instances = Array.from({length: size}, (_, index): FleetInstance => ({
			streams: new RetryBudget(ratio, allowance * allowanceFraction / size, windowMs),
			plain: new RetryBudget(ratio, allowance * allowanceFraction / size, windowMs, 0),
			borrowing: new RetryBorrowing('zone', () => lenders.filter(lender => lender !== lenders[index]), this.random),
			rejectionRate: index < size * unluckyFraction ? usualRate * 2 : usualRate,
			waiting: [],
		}));
	}

	/** Runs for a duration in milliseconds. */
	run(duration: number): void {
		for (const instance of this.instances) {
			this.scheduleRequest(instance);
			this.timers.repeat(tickMs, () => {
				this.dispatchWaiting(instance);
			});
		}

		this.timers.advance(duration);
	}

	/** Number of retries that were sent. */
	get retries(): number {
		return this.retryTimes.streams.length + this.retryTimes.plain.length;
	}

	/** Returns the largest part of the whole fleet's budget of a service that the retries of any window took, apart from the time before the first window is full. */
	findLargestUse(): number {
		const uses = services.flatMap(service => this.retryTimes[service].filter(at => at >= windowMs).map(at => this.computeUse(service, at)));
		return Math.max(0, ...uses);
	}

	private computeUse(service: Service, end: number): number {
		return countWithin(this.retryTimes[service], end) / (this.load.allowance + (ratio * countWithin(this.requestTimes[service], end)));
	}

	private scheduleRequest(instance: FleetInstance): void {
		const pause = -Math.log(1 - this.random.nextFraction()) * 1000 / this.load.requestsPerSecond;
		this.timers.after(pause, () => {
			const now = this.timers.now();
			const need = this.random.nextFraction() < plainFraction ? RetryNeed.PlainRequest : RetryNeed.RejectedStream;
			const service = getService(need);
			instance[service].recordRequest(now);
			this.requestTimes[service].push(now);
			this.attempt(instance, need, now, true);
			this.scheduleRequest(instance);
		});
	}

	/** Sends an attempt; `need` is what a rejection makes of the request. */
	private attempt(instance: FleetInstance, need: RetryNeed, arrivedAt: number, isFirst = false): void {
		if (this.random.nextFraction() < instance.rejectionRate) {
			this.timers.after(outcomeDelayMs, () => {
				this.needRetry(instance, {need, deadline: arrivedAt + this.computeWait(need)}, isFirst);
			});
		} else if (need !== RetryNeed.PlainRequest && this.random.nextFraction() < lossFraction) {
			this.timers.after(outcomeDelayMs, () => {
				this.needRetry(instance, {need: RetryNeed.BegunStream, deadline: this.timers.now() + waitMs[RetryNeed.BegunStream]}, true);
			});
		}
	}

	/** With fixed shares a plain request fails at once. */
	private computeWait(need: RetryNeed): number {
		return this.sharing === RetrySharing.Fixed && need === RetryNeed.PlainRequest ? 0 : waitMs[need];
	}

	private needRetry(instance: FleetInstance, waiting: Waiting, isFirst: boolean): void {
		if (isFirst) {
			this.needed[waiting.need]++;
		}

		if (!this.tryRetry(instance, waiting)) {
			instance.waiting = [...instance.waiting, waiting];
			this.endExpired(instance);
		}
	}

	private dispatchWaiting(instance: FleetInstance): void {
		instance.waiting = instance.waiting.filter(waiting => !this.tryRetry(instance, waiting));
		this.endExpired(instance);
	}

	private endExpired(instance: FleetInstance): void {
		for (const {need} of instance.waiting.filter(({deadline}) => deadline <= this.timers.now())) {
			this.ended[need]++;
		}

		instance.waiting = instance.waiting.filter(({deadline}) => deadline > this.timers.now());
	}

	private tryRetry(instance: FleetInstance, {need, deadline}: Waiting): boolean {
		const now = this.timers.now();
		const urgency = this.sharing === RetrySharing.Fixed || need === RetryNeed.BegunStream ? RetryUrgency.Begun : RetryUrgency.Ordinary;
		const service = getService(need);
		const isAcquired = instance[service].tryAcquire(now, urgency);
		if (isAcquired) {
			this.retryTimes[service].push(now);
			this.attempt(instance, need, need === RetryNeed.BegunStream ? now : deadline - this.computeWait(need));
		} else {
			this.borrow(instance, service);
		}

		return isAcquired;
	}

	/** Lets an instance ask for a loan; each of the two messages may be lost. */
	private borrow(instance: FleetInstance, service: Service): void {
		const now = this.timers.now();
		const request = this.sharing === RetrySharing.Lent ? instance.borrowing.request(service, instance[service].countAvailable(now), now) : undefined;
		if (!request) {
			return;
		}

		this.loanRequests++;
		let lent = 0;
		this.timers.after(this.random.nextFraction() * maxMessageDelayMs, () => {
			lent = this.random.nextFraction() < lostMessageFraction ? 0 : this.instances[Number(request.lender.peers)][service].lend(request.retries, loanLifetimeMs, this.timers.now());
		});
		this.timers.after((1 + this.random.nextFraction()) * maxMessageDelayMs, () => {
			const received = this.random.nextFraction() < lostMessageFraction ? 0 : lent;
			const loan = instance.borrowing.receive(request.number, received, this.timers.now());
			if (loan) {
				this.loans++;
				instance[service].addBorrowed(loan.retries, loan.expiresAt);
				this.dispatchWaiting(instance);
			}
		});
	}
}
