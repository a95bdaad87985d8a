import {type LeaseRecord} from './lease-record.js';

/** The row of a lease as read from the table. */
export type LeaseReading = {
	readonly record?: LeaseRecord;
	/** Version of the row; 0 if there is no row. */
	readonly version: number;
	/** Time of the reading on the table's monotonic clock; undefined if the table has none. */
	readonly tableNow?: number;
};

/**
Decides when a lease may be acquired and whether it is held, from readings of its row and this process's own clock.

Clocks of other instances are never used. A contender acquires the lease only after the row has stayed unchanged for the whole lease duration, measured on its own clock or on the table's. A holder measures the duration from when it sent its last successful write.
*/
export class Lease {
	private seenVersion = -1;
	private seenAt = 0;
	private heldUntil = Number.NEGATIVE_INFINITY;
	private heldFencing = 0;
	/** Highest fencing number seen; a row that the table lost must not make it lower. */
	private highestFencing = 0;
	private isDisplaced = true;

	/**
	@param self - unique id of this process
	@param duration - milliseconds from a renewal until others may acquire the lease
	*/
	constructor(private readonly self: string, private readonly duration: number) {}

	/** Fencing number under which this process last held the lease. */
	get fencing(): number {
		return this.heldFencing;
	}

	/** Whether this process holds the lease, so that it may send orders. */
	isHeld(now: number): boolean {
		return now < this.heldUntil;
	}

	/**
	Whether this process may do work that is harmless if another holder does it too. It may while it holds the lease, and after it expired until another holder is seen, for example while the table is unavailable.
	*/
	mayAct(now: number): boolean {
		return this.isHeld(now) || !this.isDisplaced;
	}

	/** Records that another process reports holding the lease under a fencing number. */
	observeOtherHolder(fencing: number): void {
		this.highestFencing = Math.max(this.highestFencing, fencing);
		if (fencing > this.heldFencing) {
			this.heldUntil = Number.NEGATIVE_INFINITY;
			this.isDisplaced = true;
		}
	}

	/** Returns the record to write over the row that was read; undefined if another process may still hold the lease. */
	prepareRecord({record, version, tableNow}: LeaseReading, now: number): LeaseRecord | undefined {
		if (version !== this.seenVersion) {
			this.seenVersion = version;
			this.seenAt = now;
		}

		this.highestFencing = Math.max(this.highestFencing, record?.fencing ?? 0);
		if (!record) {
			return {holder: this.self, fencing: this.highestFencing + 1, renewedAt: tableNow};
		}

		if (record.holder === this.self) {
			return {...record, fencing: record.fencing < this.highestFencing ? this.highestFencing + 1 : record.fencing, renewedAt: tableNow};
		}

		this.isDisplaced = true;
		const isExpired = tableNow !== undefined && record.renewedAt !== undefined && tableNow - record.renewedAt >= this.duration;
		return isExpired || now - this.seenAt >= this.duration ? {holder: this.self, fencing: this.highestFencing + 1, renewedAt: tableNow} : undefined;
	}

	/** Releases the lease; returns the record to write if it was held. */
	release(now: number): LeaseRecord | undefined {
		const wasHeld = this.isHeld(now);
		this.heldUntil = Number.NEGATIVE_INFINITY;
		this.isDisplaced = true;
		return wasHeld ? {holder: this.self, fencing: this.heldFencing, renewedAt: 0} : undefined;
	}

	/**
	Records that a write took effect.

	@param sentAt - monotonic time in milliseconds at which the write was sent
	*/
	confirmWrite(record: LeaseRecord, version: number, sentAt: number): void {
		this.seenVersion = version;
		this.seenAt = sentAt;
		this.heldFencing = record.fencing;
		this.highestFencing = Math.max(this.highestFencing, record.fencing);
		this.heldUntil = sentAt + this.duration;
		this.isDisplaced = false;
	}
}
