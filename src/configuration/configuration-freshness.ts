/** How many peers this instance currently reaches, and when it last reached one. */
export type PeerContact = {
	/** Number of the other instances in the instance list. */
	readonly peerCount: number;
	/** Number of those that are alive and not suspected. */
	readonly aliveCount: number;
	/** Monotonic time in milliseconds at which the most recent answered probe was sent; negative infinity if none was answered. */
	readonly lastContactAt: number;
};

/**
Decides whether an instance may still treat its configuration as the newest.

It may while the last known read of the table's head, its own or one reported by a peer, is recent. While no instance can read the table, no sheet can be accepted either, so the instance may also continue while it is in contact with peers and at least half of them are alive. An instance that is cut off from both the table and its peers, or that resumes after a pause, accepts no new work until it has reached one of them.

An instance cannot tell whether others can read the table that do not reach it. So it refuses nothing for good without a recent read.
*/
export class ConfigurationFreshness {
	private tableReadAt = Number.NEGATIVE_INFINITY;

	/**
	@param maxAgeMs - milliseconds after which a read of the table's head, or the last contact with a peer, is too old
	*/
	constructor(private readonly maxAgeMs: number) {}

	/**
	Records a read of the table's head after which the active configuration was not older than the head.

	@param readAt - monotonic time in milliseconds at which the read started
	*/
	confirm(readAt: number): void {
		this.tableReadAt = Math.max(this.tableReadAt, readAt);
	}

	/** Milliseconds since the last known read of the table's head; infinite if there was none. */
	getAge(now: number): number {
		return now - this.tableReadAt;
	}

	/** Whether the last known read of the table's head is recent. */
	isReadRecent(now: number): boolean {
		return this.getAge(now) <= this.maxAgeMs;
	}

	/** Whether the active configuration may be treated as the newest, to accept work by it. */
	isConfirmed(now: number, {peerCount, aliveCount, lastContactAt}: PeerContact): boolean {
		if (this.isReadRecent(now)) {
			return true;
		}

		return peerCount > 0 && now - lastContactAt <= this.maxAgeMs && aliveCount * 2 >= peerCount;
	}
}
