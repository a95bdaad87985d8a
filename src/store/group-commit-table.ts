import {getErrorMessage} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {PlatformError} from './platform-error.js';
import {type Row} from './row.js';
import {Table} from './table.js';
import {type TransactionResult} from './transaction-result.js';
import {type ConditionalWrite} from './conditional-write.js';

type PendingWrite = {
	readonly write: ConditionalWrite;
	readonly resolve: (transaction: TransactionResult) => void;
	readonly reject: (error: Error) => void;
};

/**
Batches single writes that arrive within a short window into one transaction (group commit).

The table rejects a whole transaction if one of its writes conflicts. The other writes are then sent again without it, so that no write fails because of another one's conflict.
*/
export class GroupCommitTable extends Table {
	private pending: PendingWrite[] = [];
	private isScheduled = false;

	/**
	@param table - table that the transactions are sent to
	@param windowMs - milliseconds for which writes are collected
	@param maxWrites - maximum number of writes in a transaction
	*/
	constructor(private readonly table: Table, private readonly timers: TimerService, private readonly windowMs: number, private readonly maxWrites: number) {
		super();
	}

	async read(key: string): Promise<Row | undefined> {
		return this.table.read(key);
	}

	async scan(prefix: string): Promise<readonly Row[]> {
		return this.table.scan(prefix);
	}

	async transact(writes: readonly ConditionalWrite[]): Promise<TransactionResult> {
		if (writes.length !== 1) {
			return this.table.transact(writes);
		}

		return new Promise((resolve, reject) => {
			this.pending.push({write: writes[0], resolve, reject});
			this.schedule();
		});
	}

	private schedule(): void {
		if (this.isScheduled) {
			return;
		}

		this.isScheduled = true;
		this.timers.after(this.windowMs, () => {
			this.isScheduled = false;
			void this.commit(this.takeBatch());
			if (this.pending.length > 0) {
				this.schedule();
			}
		});
	}

	/** Removes the writes of the next transaction from the pending ones: at most one for each key. */
	private takeBatch(): PendingWrite[] {
		const batch = new Map<string, PendingWrite>();
		const deferred: PendingWrite[] = [];
		for (const pending of this.pending) {
			if (batch.size < this.maxWrites && !batch.has(pending.write.key)) {
				batch.set(pending.write.key, pending);
			} else {
				deferred.push(pending);
			}
		}

		this.pending = deferred;
		return [...batch.values()];
	}

	private async commit(batch: PendingWrite[]): Promise<void> {
		let remaining = batch;
		while (remaining.length > 0) {
			try {
				const result = await this.table.transact(remaining.map(({write}) => write)); // eslint-disable-line no-await-in-loop
				remaining = this.settle(remaining, result);
			} catch (error) {
				const failure = error instanceof PlatformError ? error : new PlatformError(getErrorMessage(error), true);
				for (const {reject} of remaining) {
					reject(failure);
				}

				return;
			}
		}
	}

	/** Resolves the writes that a transaction decided; returns those that are to be sent again. */
	private settle(batch: PendingWrite[], result: TransactionResult): PendingWrite[] {
		const conflicts = new Map(result.conflicts.map(row => [row.key, row]));
		const remaining: PendingWrite[] = [];
		for (const pending of batch) {
			const conflict = conflicts.get(pending.write.key);
			if (conflict) {
				pending.resolve({isApplied: false, conflicts: [conflict]});
			} else if (result.isApplied) {
				pending.resolve({isApplied: true, conflicts: []});
			} else {
				remaining.push(pending);
			}
		}

		return remaining;
	}
}
