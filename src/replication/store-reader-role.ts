/** Durations in milliseconds; `readers` is a count. */
export type StoreReaderLimits = {
	/** Number of instances that read the store in normal operation, over all availability zones; at least one in each zone. */
	readonly readers: number;
	/** Time after the start during which an instance without a copy waits for one from other instances. */
	readonly joinPatience: number;
	/** Additional age for each further instance in order, so that the instances do not all start at once. */
	readonly takeoverStep: number;
	/** Limit of the additional age, so that the last instance in order does not wait too long. */
	readonly maxTakeoverDelay: number;
};

/** What the decision depends on. */
export type ReadingSituation = {
	/** Digests of the ids of the other running instances of the own availability zone; undefined while they are not known. */
	readonly neighbours: readonly string[] | undefined;
	/** Number of availability zones with running instances. */
	readonly zones: number;
	/** Milliseconds since the store confirmed this instance's copy; Infinity if it has none. */
	readonly age: number;
	/** Age of a copy at which the next instance in order starts to read the store as well, in milliseconds. */
	readonly takeoverAge: number;
	/** Milliseconds since this instance started. */
	readonly uptime: number;
};

/**
Decides whether an instance reads the store's tables itself. In each availability zone the first instances in the order of their digests do; the others receive their updates. If these stop, further instances read too, one after the other.
*/
export class StoreReaderRole {
	/**
	@param ownDigest - digest of this instance's id
	*/
	constructor(private readonly ownDigest: string, private readonly limits: StoreReaderLimits) {}

	/** Whether this instance is one of those that read in normal operation. */
	isReader(neighbours: readonly string[] | undefined, zones: number): boolean {
		return neighbours !== undefined && this.getRank(neighbours) < Math.ceil(this.limits.readers / Math.max(1, zones));
	}

	/** Whether this instance is to read a table from the store. */
	mayRead({neighbours, zones, age, takeoverAge, uptime}: ReadingSituation): boolean {
		const {joinPatience, takeoverStep, maxTakeoverDelay} = this.limits;
		if (age === Number.POSITIVE_INFINITY) {
			return uptime >= joinPatience;
		}

		return this.isReader(neighbours, zones) || age > takeoverAge + Math.min(maxTakeoverDelay, this.getRank(neighbours ?? []) * takeoverStep);
	}

	/** Returns this instance's place in the order of its availability zone; 0 for the first one. */
	private getRank(neighbours: readonly string[]): number {
		return neighbours.filter(digest => digest < this.ownDigest).length;
	}
}
