import {RetryUrgency} from './retry-urgency.js';

const defaultWindowMs = 10_000;
/** Fraction of the retries of a window that is kept for replies that have begun; at least one retry. */
const defaultReservedFraction = 0.1;
/** Retries of a window from which one is kept for replies that have begun. */
const minReservingShare = 2;

type BorrowedRetry = {
	/** Monotonic time in milliseconds. */
	readonly expiresAt: number;
	/** For whom it was asked. */
	readonly urgency: RetryUrgency;
};

/** Whether a retry of an urgency may use a borrowed one. */
function isUsable(borrowed: BorrowedRetry, urgency: RetryUrgency): boolean {
	return urgency === RetryUrgency.Begun || borrowed.urgency === RetryUrgency.Ordinary;
}

/**
Limits retries to a ratio of recent requests, so that a failure of many servers does not multiply the load (B. Beyer et al., Site Reliability Engineering, 2016, chapter 21).

In any window, retries are at most `minimum + ratio × requests`. A small part of them is kept for replies that have begun.

Instances lend retries to each other. Those that are lent count as the lender's until they can be in no window any more, whether or not they are used, and not as the borrower's. So the retries of all instances stay within the sum of their budgets, whatever messages are lost, late or repeated.
*/
export class RetryBudget {
	/** Monotonic times in milliseconds at which requests arrived. */
	private readonly requests: number[] = [];
	/** Monotonic times in milliseconds until which the retries count: the own ones, and those that were lent. */
	private retries: number[] = [];
	/** When the next of the retries expires. */
	private nextExpiry = Number.POSITIVE_INFINITY;
	private borrowed: readonly BorrowedRetry[] = [];

	/**
	@param ratio - retries allowed per request
	@param minimum - retries allowed in a window without requests
	@param window - length of the sliding window in milliseconds
	@param reservedFraction - fraction of the retries that is kept for replies that have begun; 0 for a service whose replies can't be continued
	*/
	constructor(private readonly ratio: number, private minimum: number, private readonly window = defaultWindowMs, private readonly reservedFraction = defaultReservedFraction) {}

	/** Sets the number of retries allowed in a window without requests, for example when the number of instances that share them changes. */
	setMinimum(minimum: number): void {
		this.minimum = minimum;
	}

	/** Counts a request, which increases the budget. */
	recordRequest(now: number): void {
		this.discardExpired(now);
		this.requests.push(now);
	}

	/** Takes one retry from the budget; returns false if the budget is exhausted, or if what is left is kept for more urgent retries. */
	tryAcquire(now: number, urgency: RetryUrgency): boolean {
		this.discardExpired(now);
		const borrowed = this.borrowed.findIndex(retry => isUsable(retry, urgency));
		if (borrowed !== -1) {
			this.borrowed = this.borrowed.toSpliced(borrowed, 1);
			return true;
		}

		const limit = this.share - (urgency === RetryUrgency.Begun ? 0 : this.reserve);
		if (this.retries.length + 1 > limit) {
			return false;
		}

		this.addRetry(now + this.window);
		return true;
	}

	/** Returns the number of retries that a request of an urgency could take now, without those that are kept for replies that have begun. */
	countAvailable(now: number, urgency = RetryUrgency.Ordinary): number {
		this.discardExpired(now);
		const borrowed = this.borrowed.filter(retry => isUsable(retry, urgency)).length;
		return borrowed + Math.max(0, Math.floor(this.share - this.reserve - this.retries.length));
	}

	/**
	Lends retries to another instance: at most half of those that are free, and none that are kept for replies that have begun.

	@param wanted - retries that the other instance asks for
	@param lifetime - milliseconds from now within which it uses them
	@returns the number of retries that are lent
	*/
	lend(wanted: number, lifetime: number, now: number): number {
		this.discardExpired(now);
		const free = this.share - this.retries.length;
		const lent = Math.max(0, Math.min(wanted, Math.floor(free / 2), Math.floor(free - this.reserve)));
		for (let count = 0; count < lent; count++) {
			this.addRetry(now + lifetime + this.window);
		}

		return lent;
	}

	/**
	Adds retries that another instance has lent. Those that were asked for a reply that has begun are kept for such replies.

	@param expiresAt - monotonic time in milliseconds from which they can't be used
	*/
	addBorrowed(retries: number, expiresAt: number, urgency = RetryUrgency.Ordinary): void {
		this.borrowed = [...this.borrowed, ...Array.from({length: retries}, () => ({expiresAt, urgency}))];
	}

	/** Retries that are allowed in the current window. */
	private get share(): number {
		return this.minimum + (this.ratio * this.requests.length);
	}

	/** Retries that only replies that have begun may take. */
	private get reserve(): number {
		const isReserving = this.reservedFraction > 0 && this.share >= minReservingShare;
		return isReserving ? Math.max(1, Math.floor(this.share * this.reservedFraction)) : 0;
	}

	private addRetry(until: number): void {
		this.retries.push(until);
		this.nextExpiry = Math.min(this.nextExpiry, until);
	}

	/** Removes what has expired. Requests are in order of time, and the other arrays are read only when something in them expires. */
	private discardExpired(now: number): void {
		const expired = this.requests.findIndex(at => at + this.window > now);
		if (expired !== 0) {
			this.requests.splice(0, expired === -1 ? this.requests.length : expired);
		}

		if (now >= this.nextExpiry) {
			this.retries = this.retries.filter(until => until > now);
			this.nextExpiry = Math.min(...this.retries);
		}

		if (this.borrowed.length > 0) {
			this.borrowed = this.borrowed.filter(({expiresAt}) => expiresAt > now);
		}
	}
}
