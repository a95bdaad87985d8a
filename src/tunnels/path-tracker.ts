type PathFailure = {
	/** Monotonic time in milliseconds. */
	readonly at: number;
	/** Whether nothing answered; otherwise the connection was refused. */
	readonly isSilent: boolean;
};

/** Paths that must have failed, and none worked since, before the fault is sought in this instance's own links. */
const minSuspiciousFailures = 2;
/** Time for which a path that failed is not tried again, in milliseconds. */
const retryIntervalMs = 1000;

/**
Tracks to which backend servers this instance's own connections fail although the servers work, or although nobody can tell whether they do.

A partitioned instance is one that reaches no server itself. It does not use its own paths until one of them works again.
*/
export class PathTracker {
	/** The latest failures, by address. */
	private readonly failures = new Map<string, PathFailure>();
	private wasLatestSilent = false;
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
		return this.isCutOff || now - (this.failures.get(address)?.at ?? Number.NEGATIVE_INFINITY) < retryIntervalMs;
	}

	/** Whether the path to a server is broken in such a way that open connections are dead as well. A refusal shows that bytes arrive in both directions. */
	isSilent(address: string, now: number): boolean {
		return this.isBroken(address, now) && (this.failures.get(address)?.isSilent ?? this.wasLatestSilent);
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
			this.failures.clear();
		} else {
			this.failures.delete(address);
		}

		return wasCutOff;
	}

	/**
	Records that a connection failed.

	@param isSilent - whether nothing answered; otherwise it was refused
	*/
	recordFailure(address: string, isSilent: boolean, now: number): void {
		this.failures.set(address, {at: now, isSilent});
		this.wasLatestSilent = isSilent;
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
		for (const address of this.failures.keys()) {
			if (!addresses.has(address)) {
				this.failures.delete(address);
				this.failedSinceSuccess.delete(address);
			}
		}
	}
}
