/** What an instance hears of the others. */
export type PeerContact = {
	/** Number of other instances of the list. */
	readonly peerCount: number;
	/** Number of them that are alive and not suspect. */
	readonly aliveCount: number;
	/** Monotonic time in milliseconds at which the last probe that any of them answered was sent. */
	readonly lastContactAt: number;
};

/**
Tells whether an instance may still take its configuration for the newest.

It may while it knows of a recent reading of the table's head, its own or one that a peer tells of. While nobody reads the table, no sheet can be accepted; then it may go on while it hears others and at least half of them are alive. An instance that is cut off from table and peers, or that wakes from a pause, takes no new work until it has heard from one of them.
*/
export class ConfigurationFreshness {
	private tableReadAt = Number.NEGATIVE_INFINITY;

	/**
	@param limit - milliseconds after which a reading is too old
	*/
	constructor(private readonly limit: number) {}

	/** The table's head was read at a time, and the configuration in force is not older. */
	confirm(readAt: number): void {
		this.tableReadAt = Math.max(this.tableReadAt, readAt);
	}

	/** Milliseconds since the last reading known; infinite where none is. */
	getAge(now: number): number {
		return now - this.tableReadAt;
	}

	/** Whether the configuration may be taken for the newest. */
	isConfirmed(now: number, {peerCount: others, aliveCount: alive, lastContactAt: heardAt}: PeerContact): boolean {
		if (this.getAge(now) <= this.limit) {
			return true;
		}

		return others > 0 && now - heardAt <= this.limit && alive * 2 >= others;
	}
}
