const millisecondsPerSecond = 1000;

/** What the instances share the queries of backend servers by. */
export type QueryShare = {
	readonly servers: number;
	readonly instances: number;
};

/** Limits of queries. */
export type QueryLimits = {
	/** Queries of each server in a second, on average, by all instances together. */
	readonly perServerAndSecond: number;
	/** Milliseconds for which unused queries accumulate. */
	readonly burst: number;
	/** Queries that an instance may make at once at least, after an idle time. */
	readonly minBurst: number;
};

/** Token bucket for this instance's share of the queries of backend servers, so that these do not grow with the number of instances. */
export class QueryBudget {
	private available = Number.POSITIVE_INFINITY;
	private refilledAt = 0;

	constructor(private readonly limits: QueryLimits, private readonly getShare: () => QueryShare) {}

	/** Takes a query from the budget; returns false if it is exhausted. */
	tryAcquire(now: number): boolean {
		const {servers, instances} = this.getShare();
		const rate = this.limits.perServerAndSecond * servers / Math.max(1, instances) / millisecondsPerSecond;
		const limit = Math.max(this.limits.minBurst, rate * this.limits.burst);
		this.available = Math.min(limit, this.available + ((now - this.refilledAt) * rate));
		this.refilledAt = now;
		if (this.available < 1) {
			return false;
		}

		this.available--;
		return true;
	}
}
