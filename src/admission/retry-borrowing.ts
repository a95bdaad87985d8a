import {type RandomSource} from '../routing/random-source.js';
import {RetryUrgency} from './retry-urgency.js';

/** Milliseconds for which lent retries can be used, from when the borrower asked for them. */
export const loanLifetimeMs = 1000;
/** Retries that an instance asks for at a time. Those that it doesn't use in time are lost to all instances. */
const loanRetries = 1;
/** Shortest time in milliseconds between two requests for a loan. */
const minPauseMs = 25;
/** Longest pause after requests that brought nothing, when the retries of all instances are used up. */
const maxPauseMs = 800;
const pauseFactor = 2;

/** When a loan of a service may be asked for. */
type ServicePause = {
	/** Milliseconds between two requests. */
	readonly pause: number;
	/** Monotonic time in milliseconds of the next request at the earliest. */
	readonly notBefore: number;
};

const noPause: ServicePause = {pause: minPauseMs, notBefore: Number.NEGATIVE_INFINITY};

/** An instance that may have retries to lend. */
export type Lender = {
	/** Address at which it answers other instances. */
	readonly peers: string;
	readonly availabilityZone: string;
};

/** A request to one instance for retries of a service. */
export type LoanRequest = {
	/** Tells the requests of an instance apart. */
	readonly number: number;
	readonly lender: Lender;
	readonly service: string;
	readonly retries: number;
	/** Monotonic time in milliseconds. */
	readonly askedAt: number;
};

/** Retries that another instance lent. */
export type Loan = {
	readonly service: string;
	readonly retries: number;
	/** For whom they were asked. */
	readonly urgency: RetryUrgency;
	/** Monotonic time in milliseconds. */
	readonly expiresAt: number;
};

/**
Decides when this instance asks another one for retries, and what a loan is still worth when it arrives.

It asks one instance at a time, with a pause for each service that grows while there is nothing to borrow, so that its work does not grow with the number of instances or with the retries that are denied.
*/
export class RetryBorrowing {
	private pending?: LoanRequest;
	private pendingUrgency = RetryUrgency.Ordinary;
	private requests = 0;
	private readonly pauses = new Map<string, ServicePause>();

	/**
	@param findLenders - returns the other instances that responded when they were last contacted
	*/
	constructor(private readonly availabilityZone: string, private readonly findLenders: () => readonly Lender[], private readonly random: RandomSource) {}

	/** Whether there is an instance to ask. */
	get hasLenders(): boolean {
		return this.findLenders().length > 0;
	}

	/**
	Returns the request to send after a retry of a service was denied; undefined if there is none to send.

	@param available - retries that a request to the service could take now
	@param urgency - of the retry that was denied
	*/
	request(service: string, available: number, now: number, urgency = RetryUrgency.Ordinary): LoanRequest | undefined {
		if (this.pending?.service === service && urgency === RetryUrgency.Begun) {
			this.pendingUrgency = urgency;
		}

		const {pause, notBefore} = this.pauses.get(service) ?? noPause;
		if (this.pending !== undefined || now < notBefore || available > 0) {
			return undefined;
		}

		const lender = this.selectLender(pause);
		if (lender) {
			this.pendingUrgency = urgency;
			this.pending = {
				number: this.requests++, lender, service, retries: loanRetries, askedAt: now,
			};
		}

		return this.pending;
	}

	/**
	Handles the end of a request, and returns the loan if it can still be used.

	@param number - of the request; the answer to another one than the latest is ignored
	@param lent - retries that were lent; 0 also if no answer arrived
	*/
	receive(number: number, lent: number, now: number): Loan | undefined {
		const {pending} = this;
		if (pending?.number !== number) {
			return undefined;
		}

		const {service, askedAt} = pending;
		const urgency = this.pendingUrgency;
		const expiresAt = askedAt + loanLifetimeMs;
		const retries = now < expiresAt ? Math.min(lent, pending.retries) : 0;
		this.pending = undefined;
		const previous = this.pauses.get(service) ?? noPause;
		const pause = retries > 0 ? minPauseMs : Math.min(maxPauseMs, previous.pause * pauseFactor);
		this.pauses.set(service, {pause, notBefore: askedAt + pause});
		return retries > 0
			? {
				service, retries, urgency, expiresAt,
			}
			: undefined;
	}

	/** Selects a random instance: one of the own availability zone, unless none is there or the latest had nothing to lend. */
	private selectLender(pause: number): Lender | undefined {
		const all = this.findLenders();
		const near = all.filter(({availabilityZone}) => availabilityZone === this.availabilityZone);
		const asksNear = near.length > 0 && pause === minPauseMs;
		const candidates = asksNear ? near : all;
		return candidates.length === 0 ? undefined : this.random.pick(candidates);
	}
}
