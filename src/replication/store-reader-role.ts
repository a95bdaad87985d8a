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
	/** Additional age for each further instance in order while the store is known to refuse some, without a limit: it may refuse all of them. */
	readonly refusedTakeoverStep: number;
};

/** What the decision depends on. */
export type ReadingSituation = {
	/** Digests of the ids of the other running instances of the own availability zone; undefined while they are not known. */
	readonly neighbours: readonly string[] | undefined;
	/** Number of availability zones with running instances. */
	readonly zones: number;
	/** Digests of the ids of the instances of the own availability zone that the store refuses. */
	readonly refused: ReadonlySet<string>;
	/** Milliseconds since the store confirmed this instance's copy; Infinity if it has none. */
	readonly age: number;
	/** Age of a copy at which the next instance in order starts to read the store as well, in milliseconds. */
	readonly takeoverAge: number;
	/** Milliseconds since this instance started. */
	readonly uptime: number;
};

/** First instances in order that replace refused readers at once, for each reader. If a third of the instances is refused at random, one of six is served in 999 of 1,000 cases. */
const candidatesPerReader = 3;

/**
Decides whether an instance reads the store's tables itself. In each availability zone the first instances in the order of their digests do; the others receive their updates. If these stop, further instances read too, one after the other.

The next instances in order replace readers that the store refuses at once, unless it refuses many of the first ones: then it may be unavailable to all.
*/
export class StoreReaderRole {
	/**
	@param ownDigest - digest of this instance's id
	*/
	constructor(private readonly ownDigest: string, private readonly limits: StoreReaderLimits) {}

	/** Whether this instance is one of those that read in normal operation. */
	isReader({neighbours, zones, refused}: Pick<ReadingSituation, 'neighbours' | 'zones' | 'refused'>): boolean {
		if (neighbours === undefined || refused.has(this.ownDigest)) {
			return false;
		}

		const readers = this.countReaders(zones);
		return this.getRank(neighbours) < readers * candidatesPerReader && this.getRank(neighbours.filter(digest => !refused.has(digest))) < readers;
	}

	/** Whether this instance is to read a table from the store. */
	mayRead(situation: ReadingSituation): boolean {
		const {neighbours, refused, age, takeoverAge, uptime} = situation;
		const {joinPatience, takeoverStep, maxTakeoverDelay, refusedTakeoverStep} = this.limits;
		if (age === Number.POSITIVE_INFINITY) {
			return uptime >= joinPatience;
		}

		if (neighbours && refused.has(this.ownDigest)) {
			return this.mayProbe({...situation, neighbours});
		}

		const rank = this.getRank(neighbours ?? []);
		const takeoverDelay = refused.size > 0 ? rank * refusedTakeoverStep : Math.min(maxTakeoverDelay, rank * takeoverStep);
		return this.isReader(situation) || age > takeoverAge + takeoverDelay;
	}

	/** Whether this instance, which the store refuses, is to find out when it serves it again: the readers of normal operation are, and all candidates while the store refuses each of them. */
	private mayProbe({neighbours, zones, refused}: {readonly neighbours: readonly string[]; readonly zones: number; readonly refused: ReadonlySet<string>}): boolean {
		const readers = this.countReaders(zones);
		const rank = this.getRank(neighbours);
		const candidates = neighbours.toSorted().slice(0, readers * candidatesPerReader);
		return rank < readers || (rank < readers * candidatesPerReader && candidates.every(digest => refused.has(digest)));
	}

	private countReaders(zones: number): number {
		return Math.ceil(this.limits.readers / Math.max(1, zones));
	}

	/** Returns this instance's place in the order of its availability zone; 0 for the first one. */
	private getRank(neighbours: readonly string[]): number {
		return neighbours.filter(digest => digest < this.ownDigest).length;
	}
}
