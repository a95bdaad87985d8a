import {type LeaseRecord} from './lease-record.js';

/** The row of a lease as it was read. */
export type LeaseReading = {
	readonly record?: LeaseRecord;
	/** Version of the row; 0 where there is none. */
	readonly version: number;
	/** The table's steady clock at the reading; undefined where it has none. */
	readonly tableNow?: number;
};

/**
Decides when a lease may be taken and whether it is held, from readings of its row on this process's own clock.

No clock of another instance counts: a contender takes the lease only after it has seen the row unchanged for its whole duration, or after that time on the table's own clock, and a holder counts from when it sent its last successful write.
*/
export class Lease {
	private seenVersion = -1;
	private seenAt = 0;
	private heldUntil = Number.NEGATIVE_INFINITY;
	private heldFencing = 0;
	private isDisplaced = true;

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

	/**
	Whether work may be done that is harmless when another holder does it too: the lease is held, or was held last and no other holder has been seen since, as while the table is away.
	*/
	mayAct(now: number): boolean {
		return this.isHeld(now) || !this.isDisplaced;
	}

	/** Another process tells that it holds the lease under a fencing number. */
	observeOtherHolder(fencing: number): void {
		if (fencing > this.heldFencing) {
			this.heldUntil = Number.NEGATIVE_INFINITY;
			this.isDisplaced = true;
		}
	}

	/** The record to write over the row that was read; undefined where another holds it. */
	prepareRecord({record, version, tableNow}: LeaseReading, now: number): LeaseRecord | undefined {
		if (version !== this.seenVersion) {
			this.seenVersion = version;
			this.seenAt = now;
		}

		if (!record) {
			return {holder: this.self, fencing: 1, renewedAt: tableNow};
		}

		if (record.holder === this.self) {
			return {...record, renewedAt: tableNow};
		}

		this.isDisplaced = true;
		const isOutdated = tableNow !== undefined && record.renewedAt !== undefined && tableNow - record.renewedAt >= this.duration;
		return isOutdated || now - this.seenAt >= this.duration ? {holder: this.self, fencing: record.fencing + 1, renewedAt: tableNow} : undefined;
	}

	/** Gives the lease up; the record to write where it is held. */
	release(now: number): LeaseRecord | undefined {
		const wasHeld = this.isHeld(now);
		this.heldUntil = Number.NEGATIVE_INFINITY;
		this.isDisplaced = true;
		return wasHeld ? {holder: this.self, fencing: this.heldFencing, renewedAt: 0} : undefined;
	}

	/**
	The write took effect.

	@param sentAt - monotonic time at which it was sent
	*/
	confirmWrite(record: LeaseRecord, version: number, sentAt: number): void {
		this.seenVersion = version;
		this.seenAt = sentAt;
		this.heldFencing = record.fencing;
		this.heldUntil = sentAt + this.duration;
		this.isDisplaced = false;
	}
}
