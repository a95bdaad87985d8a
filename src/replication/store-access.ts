import {type RandomSource} from '../routing/random-source.js';

/** Durations in milliseconds; `quickAttempts` is a count. */
export type StoreAccessLimits = {
	/** Bound of the random pause after the first failed call. It doubles with each failed probe. */
	readonly retryPause: number;
	/** Bound of the doubled pause. */
	readonly maxRetryPause: number;
	/** Failed probes after which the pause begins to double while the instance lacks a copy of a table, so that a start is not delayed. */
	readonly quickAttempts: number;
};

/** What is asked of, and told to, the instance. */
export type StoreAccessEvents = {
	/** Whether the instance lacks a copy of a table. */
	readonly isLackingCopy: () => boolean;
	/** Called after each failed call that counts, and when the store serves this instance again. */
	readonly onChange: (isRefused: boolean, now: number) => void;
};

/** A call that an instance may make to the store. */
export type StoreCall = {
	/** Monotonic time in milliseconds. */
	readonly startedAt: number;
	/** Whether the call finds out whether the store still refuses the instance. Its answer is to come at once. */
	readonly isProbe: boolean;
};

/**
Whether the store refuses this instance; one for all tables of a process.

After a failed call, one call at a time probes the store, with exponential backoff and full jitter (M. Brooker, Exponential backoff and jitter, 2015). All other calls wait until a probe succeeds.
*/
export class StoreAccess {
	private failedProbes = 0;
	private refused = false;
	private failedAt = Number.NEGATIVE_INFINITY;
	private nextProbeAt = Number.NEGATIVE_INFINITY;
	private probe?: StoreCall;

	constructor(private readonly random: RandomSource, private readonly limits: StoreAccessLimits, private readonly events: StoreAccessEvents) {}

	/** Whether the last call that tells failed. */
	get isRefused(): boolean {
		return this.refused;
	}

	/** Begins a call; returns undefined if none may be made now. Each call that was begun must be ended. */
	begin(now: number): StoreCall | undefined {
		if (!this.isRefused) {
			return {startedAt: now, isProbe: false};
		}

		if (this.probe !== undefined || now < this.nextProbeAt) {
			return undefined;
		}

		this.probe = {startedAt: now, isProbe: true};
		return this.probe;
	}

	/** Ends a call that the store answered. An answer to a call from before a failure tells nothing: the store may have accepted it before it began to refuse this instance. */
	recordAnswer(call: StoreCall, now: number): void {
		this.endProbe(call);
		if (this.isRefused && call.startedAt >= this.failedAt) {
			this.refused = false;
			this.failedProbes = 0;
			this.events.onChange(false, now);
		}
	}

	/** Ends a call that the store refused or did not answer. Calls that were under way at the same time count as one. */
	recordFailure(call: StoreCall, now: number): void {
		this.endProbe(call);
		if (this.isRefused && !call.isProbe) {
			return;
		}

		this.failedProbes = call.isProbe ? this.failedProbes + 1 : 0;
		this.refused = true;
		this.failedAt = now;
		this.nextProbeAt = now + this.computePause(Math.max(0, this.failedProbes - (this.events.isLackingCopy() ? this.limits.quickAttempts : 0)));
		this.events.onChange(true, now);
	}

	/** Brings the next probe forward, since the store serves another instance again that it refused. */
	expectAnswer(now: number): void {
		this.failedProbes = 0;
		this.nextProbeAt = Math.min(this.nextProbeAt, now + this.computePause(0));
	}

	/** Returns a random pause whose bound doubles with each failure. */
	computePause(doublings: number): number {
		const {retryPause, maxRetryPause} = this.limits;
		return this.random.nextFraction() * Math.min(maxRetryPause, retryPause * (2 ** doublings));
	}

	private endProbe(call: StoreCall): void {
		if (this.probe === call) {
			this.probe = undefined;
		}
	}
}
