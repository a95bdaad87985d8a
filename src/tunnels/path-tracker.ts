/** What a change of the paths means for this instance as a whole. */
export enum PathChange {
	None = 'none',
	/** A path turned out to be broken. */
	Broken = 'broken',
	/** No path works any more. */
	Partitioned = 'partitioned',
	/** After a partition, a path works again. */
	Restored = 'restored',
}

/** Servers that must have become unreachable before the fault is sought in this instance's links. */
const minBrokenPaths = 2;
/** Time for which a broken path is not used while others work, in milliseconds. */
const retryIntervalMs = 1000;

/**
Tracks to which backend servers this instance's own connections fail although the servers work, or although nobody knows whether they do.

An instance for which several such paths failed, and none has worked since, counts as partitioned: it uses none of them until one works again.
*/
export class PathTracker {
	/** Monotonic times in milliseconds at which the paths last failed, by address. */
	private readonly brokenAt = new Map<string, number>();
	private isCutOff = false;

	/** Whether this instance reaches no backend server by itself. */
	get isPartitioned(): boolean {
		return this.isCutOff;
	}

	/** Whether connections to a server are not to be opened directly. */
	isBroken(address: string, now: number): boolean {
		return this.isCutOff || now - (this.brokenAt.get(address) ?? Number.NEGATIVE_INFINITY) < retryIntervalMs;
	}

	/** Records that a connection of this instance was established. */
	recordSuccess(address: string): PathChange {
		if (!this.isCutOff) {
			// The failures before were of single paths.
			this.brokenAt.delete(address);
			return PathChange.None;
		}

		this.brokenAt.clear();
		this.isCutOff = false;
		return PathChange.Restored;
	}

	/** Records that a connection of this instance failed while the server works, or nobody knows whether it does. */
	recordFailure(address: string, now: number): PathChange {
		const wasBroken = this.isBroken(address, now);
		this.brokenAt.set(address, now);
		if (this.isCutOff) {
			return PathChange.None;
		}

		this.isCutOff = this.countRecentFailures(now) >= minBrokenPaths;
		if (this.isCutOff) {
			return PathChange.Partitioned;
		}

		return wasBroken ? PathChange.None : PathChange.Broken;
	}

	private countRecentFailures(now: number): number {
		return [...this.brokenAt.values()].filter(at => now - at < retryIntervalMs).length;
	}
}
