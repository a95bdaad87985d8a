const millisecondsPerSecond = 1000;

/** Rate and depth of a token bucket. */
export type BucketRate = {
	/** Tokens that are added per second. */
	readonly perSecond: number;
	/** Most tokens that are held. */
	readonly burst: number;
};

/** A token bucket. Tokens may be taken in advance, so that those who wait for one know when it is theirs. Times are monotonic milliseconds. */
export class TokenBucket {
	private tokens: number;

	/** Creates a full bucket. */
	constructor(private rate: BucketRate, private updatedAt: number) {
		this.tokens = rate.burst;
	}

	/** Changes rate and depth; the tokens that are held are kept as far as they fit. */
	setRate(rate: BucketRate, now: number): void {
		this.refill(now);
		this.rate = rate;
		this.tokens = Math.min(rate.burst, this.tokens);
	}

	/** Returns the milliseconds until a whole token is available; Infinity if none ever is. */
	computeDelay(now: number): number {
		this.refill(now);
		return this.tokens >= 1 ? 0 : (1 - this.tokens) / this.rate.perSecond * millisecondsPerSecond;
	}

	/** Takes a token, also one that is not available yet. */
	take(now: number): void {
		this.refill(now);
		this.tokens--;
	}

	private refill(now: number): void {
		const added = (now - this.updatedAt) / millisecondsPerSecond * this.rate.perSecond;
		this.tokens = Math.min(this.rate.burst, this.tokens + added);
		this.updatedAt = now;
	}
}
