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
Group commit: single writes that arrive within a short time share one transaction.

A transaction is refused whole where one write conflicts; the others are then sent again without it, so no write waits on a conflict that is not its own.
*/
export class GroupCommitTable extends Table {
	private pending: PendingWrite[] = [];
	private isScheduled = false;

	/**
	@param table - where the transactions go
	@param window - milliseconds for which writes are gathered
	@param most - most writes in one transaction
	*/
	constructor(private readonly table: Table, private readonly timers: TimerService, private readonly window: number, private readonly most: number) {
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
		this.timers.after(this.window, () => {
			this.isScheduled = false;
			void this.commit(this.takeGroup());
			if (this.pending.length > 0) {
				this.schedule();
			}
		});
	}

	/** Takes the writes of one transaction: at most one for each key. */
	private takeGroup(): PendingWrite[] {
		const group = new Map<string, PendingWrite>();
		const rest: PendingWrite[] = [];
		for (const pending of this.pending) {
			if (group.size < this.most && !group.has(pending.write.key)) {
				group.set(pending.write.key, pending);
			} else {
				rest.push(pending);
			}
		}

		this.pending = rest;
		return [...group.values()];
	}

	private async commit(group: PendingWrite[]): Promise<void> {
		let rest = group;
		while (rest.length > 0) {
			try {
				const outcome = await this.table.transact(rest.map(({write}) => write)); // eslint-disable-line no-await-in-loop
				rest = this.settle(rest, outcome);
			} catch (error) {
				const failure = error instanceof PlatformError ? error : new PlatformError(getErrorMessage(error), true);
				for (const {reject} of rest) {
					reject(failure);
				}

				return;
			}
		}
	}

	/** Settles what a transaction decided; returns the writes that are still to be sent. */
	private settle(group: PendingWrite[], outcome: TransactionResult): PendingWrite[] {
		const conflicts = new Map(outcome.conflicts.map(row => [row.key, row]));
		const rest: PendingWrite[] = [];
		for (const pending of group) {
			const conflict = conflicts.get(pending.write.key);
			if (conflict) {
				pending.resolve({isApplied: false, conflicts: [conflict]});
			} else if (outcome.isApplied) {
				pending.resolve({isApplied: true, conflicts: []});
			} else {
				rest.push(pending);
			}
		}

		return rest;
	}
}
