const bitsOfByte = 8;
const millisecondsOfSecond = 1000;
const bitsOfMegabit = 1_000_000;

/** This instance's part of the pipe between availability zones, as bytes that may be sent. */
export class InterzoneBandwidthBudget {
	private available = 0;
	private filledAt = Number.NEGATIVE_INFINITY;

	/**
	@param share - part of the pipe that all instances together use
	@param burst - milliseconds for which unused capacity is kept
	@param instances - number of instances that share the pipe
	*/
	constructor(private readonly share: number, private readonly burst: number, private readonly instances: () => number) {}

	/**
	Takes bytes out of the budget; false where it does not have them.

	@param megabits - capacity of the pipe in megabits a second
	*/
	tryConsume(bytes: number, megabits: number, now: number): boolean {
		const rate = megabits * bitsOfMegabit / bitsOfByte * this.share / this.instances() / millisecondsOfSecond;
		const most = Math.max(rate * this.burst, bytes);
		this.available = Math.min(most, this.available + (Math.min(now - this.filledAt, this.burst) * rate));
		this.filledAt = now;
		if (this.available < bytes) {
			return false;
		}

		this.available -= bytes;
		return true;
	}
}
