const weight = 0.2;
const settledTokens = 8;
const slowdownFactor = 3;

/** The pace of a stream's tokens: tells when it has become much slower than it was. */
export class TokenRateMonitor {
	private recent = 0;
	private best = Number.POSITIVE_INFINITY;
	private count = 0;

	/**
	@param slowGap - milliseconds between tokens up to which no pace is called slow
	*/
	constructor(private readonly slowGap: number) {}

	/** Notes tokens that arrived together some milliseconds after those before. */
	record(tokens: number, duration: number): void {
		const gap = duration / tokens;
		this.recent = this.count === 0 ? gap : this.recent + ((gap - this.recent) * weight);
		this.count += tokens;
		if (this.count >= settledTokens) {
			this.best = Math.min(this.best, this.recent);
		}
	}

	/** Whether the recent gaps are far above the stream's own best and above what is called slow. */
	hasSlowedDown(): boolean {
		return this.recent > this.slowGap && this.recent > this.best * slowdownFactor;
	}

	/** Begins anew after a change of the route, with the best pace so far. */
	reset(): void {
		this.recent = 0;
		this.count = 0;
	}
}
