import {type LeaseRecord} from './lease-record.js';

/** The row of a lease as it was read. */
export type LeaseReading = {
	readonly record?: LeaseRecord;
	/** Version of the row; 0 where there is none. */
	readonly version: number;
};

/**
Decides when a lease may be taken and whether it is held, from readings of its row on this process's own clock.

No clock of another machine counts: a contender takes the lease only after it has seen the row unchanged for its whole duration, and a holder counts from when it sent its last successful write.
*/
export class Lease {
	private seenVersion = -1;
	private seenAt = 0;
	private heldUntil = Number.NEGATIVE_INFINITY;
	private heldFencing = 0;

	/**
	@param self - this process; unique
	@param duration - milliseconds from a renewal until others may take it
	*/
	constructor(private readonly self: string, private readonly duration: number) {}

	/** Fencing number under which it was last held. */
	get fencing(): number {
		return this.heldFencing;
	}

	/** Whether orders may be given under it. */
	isHeld(now: number): boolean {
		return now < this.heldUntil;
	}

	/** The record to write over the row that was read; undefined where another holds it. */
	next({record, version}: LeaseReading, now: number): LeaseRecord | undefined {
		if (version !== this.seenVersion) {
			this.seenVersion = version;
			this.seenAt = now;
		}

		if (!record) {
			return {holder: this.self, fencing: 1};
		}

		if (record.holder === this.self) {
			return record;
		}

		return now - this.seenAt >= this.duration ? {holder: this.self, fencing: record.fencing + 1} : undefined;
	}

	/**
	The write took effect.

	@param sentAt - monotonic time at which it was sent
	*/
	written(record: LeaseRecord, version: number, sentAt: number): void {
		this.seenVersion = version;
		this.seenAt = sentAt;
		this.heldFencing = record.fencing;
		this.heldUntil = sentAt + this.duration;
	}
}
