import * as z from 'zod';
import {type DecisionLog} from '../observation/decision-log.js';
import {type ReplicatedTable} from '../replication/replicated-table.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type RandomSource} from '../routing/random-source.js';
import {type Table} from '../store/table.js';
import {type TimerService} from '../time/timer-service.js';

const rowSchema = z.object({
	/** Unix time in milliseconds. */
	expiresAt: z.number(),
});

export type QuarantineRegisterDependencies = {
	readonly table: Table;
	readonly timers: TimerService;
	readonly random: RandomSource;
	/** Returns the number of instances that may write the same row. */
	readonly countInstances: () => number;
	readonly log: DecisionLog;
	/** Called for each row that is new or changed and has not expired; `expiresAt` is Unix time in milliseconds. */
	readonly onQuarantine: (part: string, expiresAt: number) => void;
};

/** Timings of the register, in milliseconds. */
export type QuarantineTimings = {
	/** Part of the random delay before a row is written that each instance adds, so that few instances write the same row. */
	readonly delayPerInstance: number;
	/** Longest random delay before a row is written, in which the row of another instance that decided the same may arrive. */
	readonly maxDelay: number;
	/** A row that expires earlier than the own decision by no more than this is left as it is, since the instances decide at slightly different times. */
	readonly expiryTolerance: number;
	/** Shortest pause before a write that failed is repeated. It doubles with each failure, and is extended by a random part of itself. */
	readonly retryPause: number;
	/** Bound of the doubled pause. */
	readonly maxRetryPause: number;
};

type KnownRow = {
	/** Transaction that wrote the row. */
	readonly version: number;
	readonly text: string;
	/** Unix time in milliseconds; undefined if the row cannot be decoded. */
	readonly expiresAt?: number;
};

type WrittenRow = {
	/** Unix time in milliseconds. */
	readonly expiresAt: number;
	/** Era of the store in which the row was written or last seen; undefined before the table was first read. */
	readonly era?: number;
};

/** Writes the quarantines to the platform's store, and reports those that the copy of its table holds. */
export class QuarantineRegister {
	private knownRows: ReadonlyMap<string, KnownRow> = new Map();
	private era?: number;
	/** Expiry of the quarantines that are still to be written, by part. */
	private readonly pending = new Map<string, number>();
	/** Rows that this instance wrote, by part, until they expire. */
	private readonly writtenRows = new Map<string, WrittenRow>();

	constructor(private readonly dependencies: QuarantineRegisterDependencies, private readonly timings: QuarantineTimings) {}

	/**
	Writes a quarantine to the store, so that it survives a restart of all instances. Failed writes are repeated until the quarantine expires.

	@param expiresAt - Unix time in milliseconds
	*/
	publish(part: string, expiresAt: number): void {
		const pendingExpiry = this.pending.get(part);
		this.pending.set(part, Math.max(expiresAt, pendingExpiry ?? expiresAt));
		if (pendingExpiry === undefined) {
			void this.writePending(part);
		}
	}

	/** Applies the rows of the table. A row that cannot be decoded is logged and ignored. */
	update(table: ReplicatedTable): void {
		const previousRows = this.knownRows;
		const rows = [...table.all()].map(({key, transaction, text = ''}): [string, KnownRow] => {
			const known = previousRows.get(key);
			return [key, known?.version === transaction && known.text === text ? known : this.decodeRow(key, transaction, text)];
		});
		this.knownRows = new Map(rows);
		this.era = table.position?.era;
		const wallClock = this.dependencies.timers.wallClock();
		for (const [part, row] of rows) {
			if (row !== previousRows.get(part) && row.expiresAt !== undefined && row.expiresAt > wallClock) {
				this.dependencies.onQuarantine(part, row.expiresAt);
			}
		}

		this.restoreWrittenRows(wallClock);
	}

	/** Writes the own rows again that the store lost when it returned from an older copy. */
	private restoreWrittenRows(wallClock: number): void {
		const {era} = this;
		for (const [part, written] of this.writtenRows) {
			const isListed = this.isCovered(this.knownRows.get(part)?.expiresAt, written.expiresAt);
			if (written.expiresAt <= wallClock) {
				this.writtenRows.delete(part);
			} else if (isListed || written.era === undefined) {
				this.writtenRows.set(part, {...written, era});
			} else if (written.era !== era) {
				this.writtenRows.delete(part);
				this.publish(part, written.expiresAt);
			}
		}
	}

	private async writePending(part: string): Promise<void> {
		const {timers, random, countInstances} = this.dependencies;
		const {delayPerInstance, maxDelay, retryPause, maxRetryPause} = this.timings;
		await timers.sleep(random.nextFraction() * Math.min(maxDelay, delayPerInstance * countInstances()));
		let storedExpiry: number | undefined;
		for (let pause = retryPause; !this.isSettled(part, storedExpiry); pause = Math.min(pause * 2, maxRetryPause)) {
			storedExpiry = await this.write(part, this.pending.get(part)!); // eslint-disable-line no-await-in-loop
			if (storedExpiry === undefined) {
				await timers.sleep(pause * (1 + random.nextFraction())); // eslint-disable-line no-await-in-loop
			}
		}

		this.pending.delete(part);
	}

	/** Whether nothing is left to write for the part. */
	private isSettled(part: string, storedExpiry: number | undefined): boolean {
		const {timers, log} = this.dependencies;
		const expiresAt = this.pending.get(part)!;
		if (this.isCovered(storedExpiry, expiresAt) || this.isCovered(this.knownRows.get(part)?.expiresAt, expiresAt)) {
			return true;
		}

		if (expiresAt > timers.wallClock()) {
			return false;
		}

		log.warn('quarantine.abandoned', {part, expiresAt, reason: 'it expired before the store accepted it'});
		return true;
	}

	/** Writes a row; returns the expiry that the store then has, or undefined if it is not known to have one. */
	private async write(part: string, expiresAt: number): Promise<number | undefined> {
		const {log} = this.dependencies;
		const {era} = this;
		try {
			const current = await this.writeOver(part, this.knownRows.get(part)?.version ?? 0, expiresAt);
			if (current && this.isCovered(current.expiresAt, expiresAt)) {
				// The same expiry is that of an own write whose response was lost.
				if (current.expiresAt === expiresAt) {
					this.writtenRows.set(part, {expiresAt, era});
				}

				return current.expiresAt;
			}

			if (current && await this.writeOver(part, current.version, expiresAt)) {
				log.write('quarantine.write_conflict', {part, expiresAt});
				return undefined;
			}
		} catch (error) {
			log.warn('quarantine.not_written', {part, reason: getErrorMessage(error)});
			return undefined;
		}

		this.writtenRows.set(part, {expiresAt, era});
		log.write('quarantine.written', {part, expiresAt});
		return expiresAt;
	}

	/** Writes a row over a version; returns the row that the store has instead if that is another version. Throws PlatformError. */
	private async writeOver(part: string, expected: number, expiresAt: number): Promise<KnownRow | undefined> {
		const {isApplied, conflicts: [conflict]} = await this.dependencies.table.transact([{key: part, expected, value: JSON.stringify({expiresAt})}]);
		if (isApplied) {
			return undefined;
		}

		// A store that reports no row with the conflict has none.
		return conflict ? this.decodeRow(part, conflict.version, conflict.value) : {version: 0, text: ''};
	}

	private isCovered(storedExpiry: number | undefined, expiresAt: number): boolean {
		return storedExpiry !== undefined && storedExpiry >= expiresAt - this.timings.expiryTolerance;
	}

	private decodeRow(part: string, version: number, text: string): KnownRow {
		// The store reports a deleted row as an empty one.
		if (text === '') {
			return {version, text};
		}

		try {
			return {version, text, ...rowSchema.parse(JSON.parse(text))};
		} catch (error) {
			this.dependencies.log.warn('quarantine.row_unreadable', {part, reason: getErrorMessage(error)});
			return {version, text};
		}
	}
}
