const bitsPerByte = 8;
const millisecondsPerSecond = 1000;
const bitsPerMegabit = 1_000_000;

/** Token bucket, in bytes, for this instance's share of the bandwidth between availability zones. */
export class InterzoneBandwidthBudget {
	private available = 0;
	private refilledAt = Number.NEGATIVE_INFINITY;

	/**
	@param share - fraction of the bandwidth that all instances together may use
	@param burst - milliseconds for which unused bandwidth accumulates
	@param instances - returns the number of instances that share the bandwidth
	*/
	constructor(private readonly share: number, private readonly burst: number, private readonly instances: () => number) {}

	/**
	Takes bytes from the budget; returns false and takes nothing if too few are available.

	@param megabits - bandwidth between zones in megabits per second
	*/
	tryConsume(bytes: number, megabits: number, now: number): boolean {
		const rate = megabits * bitsPerMegabit / bitsPerByte * this.share / this.instances() / millisecondsPerSecond;
		const limit = Math.max(rate * this.burst, bytes);
		this.available = Math.min(limit, this.available + (Math.min(now - this.refilledAt, this.burst) * rate));
		this.refilledAt = now;
		if (this.available < bytes) {
			return false;
		}

		this.available -= bytes;
		return true;
	}
}
