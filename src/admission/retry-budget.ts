const defaultWindowMs = 10_000;

type BudgetEntry = {
	readonly at: number;
	readonly isRetry: boolean;
};

/**
Limits retries to a ratio of recent requests, so that a failure of many servers does not multiply the load (B. Beyer et al., Site Reliability Engineering, 2016, chapter 21).

In any window, retries are at most `minimum + ratio × requests`.
*/
export class RetryBudget {
	private entries: BudgetEntry[] = [];

	/**
	@param ratio - retries allowed per request
	@param minimum - retries allowed in a window without requests
	@param window - length of the sliding window in milliseconds
	*/
	constructor(private readonly ratio: number, private minimum: number, private readonly window = defaultWindowMs) {}

	/** Sets the number of retries allowed in a window without requests, for example when the number of instances that share them changes. */
	setMinimum(minimum: number): void {
		this.minimum = minimum;
	}

	/** Counts a request, which increases the budget. */
	recordRequest(now: number): void {
		this.discardExpired(now);
		this.entries.push({at: now, isRetry: false});
	}

	/** Takes one retry from the budget; returns false if the budget is exhausted. */
	tryAcquire(now: number): boolean {
		this.discardExpired(now);
		const retries = this.entries.filter(({isRetry}) => isRetry).length;
		const requests = this.entries.length - retries;
		if (retries + 1 > this.minimum + (this.ratio * requests)) {
			return false;
		}

		this.entries.push({at: now, isRetry: true});
		return true;
	}

	private discardExpired(now: number): void {
		const first = this.entries.findIndex(({at}) => at > now - this.window);
		this.entries = first === -1 ? [] : this.entries.slice(first);
	}
}
