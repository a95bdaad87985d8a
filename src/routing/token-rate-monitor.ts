const smoothingFactor = 0.2;
const minimumTokens = 8;
const slowdownFactor = 3;

/** Monitors the gap between the tokens of a stream and detects when the stream has become much slower than before. */
export class TokenRateMonitor {
	private averageGap = 0;
	private bestGap = Number.POSITIVE_INFINITY;
	private tokenCount = 0;

	/**
	@param slowGap - milliseconds between tokens up to which a stream never counts as slow
	*/
	constructor(private readonly slowGap: number) {}

	/**
	Records tokens that arrived together.

	@param duration - milliseconds since the previous tokens
	*/
	record(tokens: number, duration: number): void {
		const gap = duration / tokens;
		this.averageGap = this.tokenCount === 0 ? gap : this.averageGap + ((gap - this.averageGap) * smoothingFactor);
		this.tokenCount += tokens;
		if (this.tokenCount >= minimumTokens) {
			this.bestGap = Math.min(this.bestGap, this.averageGap);
		}
	}

	/** Whether the average gap is above the limit for slow streams and far above the stream's own best. */
	hasSlowedDown(): boolean {
		return this.averageGap > this.slowGap && this.averageGap > this.bestGap * slowdownFactor;
	}

	/** Resets the average after a change of the route. The best gap so far is kept. */
	reset(): void {
		this.averageGap = 0;
		this.tokenCount = 0;
	}
}
