const usualWindow = 10_000;

type Slot = {
	readonly at: number;
	readonly isRetry: boolean;
};

/**
Bounds retries to a share of recent requests, so that a failure of many servers does not multiply the load (B. Beyer et al., Site Reliability Engineering, 2016, chapter 21).

In any window, retries are at most `least + ratio × requests`.
*/
export class RetryBudget {
	private slots: Slot[] = [];

	/**
	@param ratio - retries allowed for each request
	@param least - retries allowed in a window without requests
	@param window - milliseconds
	*/
	constructor(private readonly ratio: number, private least: number, private readonly window = usualWindow) {}

	/** Changes the retries allowed in a window without requests, as when the number of instances that share them changes. */
	setMinimum(least: number): void {
		this.least = least;
	}

	/** Counts a request. */
	recordRequest(now: number): void {
		this.forget(now);
		this.slots.push({at: now, isRetry: false});
	}

	/** Takes one retry; false where the budget is spent. */
	tryAcquire(now: number): boolean {
		this.forget(now);
		const retries = this.slots.filter(({isRetry}) => isRetry).length;
		const requests = this.slots.length - retries;
		if (retries + 1 > this.least + (this.ratio * requests)) {
			return false;
		}

		this.slots.push({at: now, isRetry: true});
		return true;
	}

	private forget(now: number): void {
		const first = this.slots.findIndex(({at}) => at > now - this.window);
		this.slots = first === -1 ? [] : this.slots.slice(first);
	}
}
