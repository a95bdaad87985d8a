/** Paths that must have failed, and none worked since, before the fault is sought in this instance's own links. */
const minSuspiciousFailures = 2;
/** Time for which a path that failed is not tried again, in milliseconds. */
const retryIntervalMs = 1000;

/**
Tracks to which backend servers this instance's own connections fail although the servers work, or although nobody can tell whether they do.

A partitioned instance is one that reaches no server itself. It does not use its own paths until one of them works again.
*/
export class PathTracker {
	/** Monotonic times in milliseconds at which the paths last failed, by address, in the order in which they began to fail. */
	private readonly failedAt = new Map<string, number>();
	/** Addresses of paths that failed since any path last worked. */
	private readonly failedSinceSuccess = new Set<string>();
	private isCutOff = false;

	/** Whether this instance reaches no backend server itself. */
	get isPartitioned(): boolean {
		return this.isCutOff;
	}

	/** Whether so many paths failed, and none worked since, that this instance may be partitioned. */
	get maybePartitioned(): boolean {
		return this.failedSinceSuccess.size >= minSuspiciousFailures;
	}

	/** Whether the path to a server is not to be used now. */
	isBroken(address: string, now: number): boolean {
		return this.isCutOff || now - (this.failedAt.get(address) ?? Number.NEGATIVE_INFINITY) < retryIntervalMs;
	}

	/** Whether the path to a server failed and no path has worked since. */
	hasFailed(address: string): boolean {
		return this.failedSinceSuccess.has(address);
	}

	/** Records that a connection was established. Returns whether that ends a partition. */
	recordSuccess(address: string): boolean {
		const wasCutOff = this.isCutOff;
		this.isCutOff = false;
		this.failedSinceSuccess.clear();
		if (wasCutOff) {
			this.failedAt.clear();
		} else {
			this.failedAt.delete(address);
		}

		return wasCutOff;
	}

	/** Records that a connection failed. */
	recordFailure(address: string, now: number): void {
		this.failedAt.set(address, now);
		this.failedSinceSuccess.add(address);
	}

	/** Records that this instance reaches no server. Returns whether that is new. */
	recordPartition(): boolean {
		const wasCutOff = this.isCutOff;
		this.isCutOff = true;
		return !wasCutOff;
	}

	/** Forgets the paths to all other addresses. */
	retain(addresses: ReadonlySet<string>): void {
		for (const address of this.failedAt.keys()) {
			if (!addresses.has(address)) {
				this.failedAt.delete(address);
				this.failedSinceSuccess.delete(address);
			}
		}
	}
}
