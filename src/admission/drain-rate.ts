/** Time constant with which starts are forgotten, in milliseconds. */
const memoryMs = 2000;
/** Time with waiting requests, in milliseconds, and starts before which the rate is not known. Few starts say little about a rate, and none may mean an outage that ends. */
const minObservedMs = 250;
const minStarts = 3;

/** The rate at which queued requests start, measured while some wait, since only then does it show the rate at which capacity becomes free. */
export class DrainRate {
	private isWaiting = false;
	private observedMs = 0;
	private tokens = 0;
	private starts = 0;
	private updatedAt = 0;

	/** Records whether requests wait from now on. */
	setWaiting(isWaiting: boolean, now: number): void {
		this.update(now);
		this.isWaiting = isWaiting;
	}

	/** Records that a queued request started. */
	recordStart(tokens: number, now: number): void {
		this.update(now);
		this.tokens += tokens;
		this.starts++;
	}

	/** Returns the milliseconds until queued requests with these tokens have started; undefined if the rate is not known. */
	predictWait(tokens: number, now: number): number | undefined {
		this.update(now);
		return this.observedMs >= minObservedMs && this.starts >= minStarts ? tokens * this.observedMs / this.tokens : undefined;
	}

	private update(now: number): void {
		const elapsed = Math.max(0, now - this.updatedAt);
		const decay = Math.exp(-elapsed / memoryMs);
		this.observedMs = (this.observedMs * decay) + (this.isWaiting ? elapsed : 0);
		this.tokens *= decay;
		this.starts *= decay;
		this.updatedAt = now;
	}
}
