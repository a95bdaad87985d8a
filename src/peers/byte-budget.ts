const millisecondsPerSecond = 1000;
/** Share of the newest exchanges in the average size. */
const sampleWeight = 0.2;

/** Calls that an instance has made, and their bytes in both directions. */
export type GossipTraffic = {
	readonly calls: number;
	readonly bytes: number;
};

/** Limits how many exchanges an instance starts, so that the bytes that it exchanges stay within a rate whatever the size of a message. */
export class ByteBudget {
	private available: number;
	private refilledAt = Number.NEGATIVE_INFINITY;
	private averageSize = 0;
	private recorded: GossipTraffic = {calls: 0, bytes: 0};

	/**
	@param rate - bytes a second
	@param burst - bytes that may be exchanged at once after an idle period
	*/
	constructor(private readonly rate: number, private readonly burst: number) {
		this.available = burst;
	}

	/**
	Returns how many exchanges of average size the budget allows now, at most a maximum.

	@param traffic - everything that was exchanged so far
	*/
	countAffordable(maximum: number, traffic: GossipTraffic, now: number): number {
		this.refill(now);
		this.record(traffic);
		const affordable = this.averageSize === 0 ? maximum : Math.floor(this.available / this.averageSize);
		return Math.max(0, Math.min(maximum, affordable));
	}

	private refill(now: number): void {
		const elapsed = Math.min(now - this.refilledAt, this.burst / this.rate * millisecondsPerSecond);
		this.available = Math.min(this.burst, this.available + (elapsed * this.rate / millisecondsPerSecond));
		this.refilledAt = now;
	}

	private record(traffic: GossipTraffic): void {
		const bytes = traffic.bytes - this.recorded.bytes;
		const calls = traffic.calls - this.recorded.calls;
		this.recorded = traffic;
		if (calls === 0) {
			return;
		}

		// News is sent whatever it costs. It only uses up what is left: the exchanges that repair its loss must go on.
		this.available = Math.max(0, this.available - bytes);
		const size = Math.min(bytes / calls, this.burst);
		this.averageSize = this.averageSize === 0 ? size : (this.averageSize * (1 - sampleWeight)) + (size * sampleWeight);
	}
}
