import {PlatformError} from '../../src/store/platform-error.js';
import {type Row} from '../../src/store/row.js';
import {Table} from '../../src/store/table.js';
import {type TransactionResult} from '../../src/store/transaction-result.js';
import {type ConditionalWrite} from '../../src/store/conditional-write.js';

/** What happens to one call of the fake table. */
export enum TableCallOutcome {
	Succeeded = 'answered',
	/** Nothing happens, and the caller learns so. */
	Refused = 'refused',
	/** It takes effect, but the answer is lost. */
	ResponseLost = 'answer_lost',
	/** It seems lost and takes effect later. */
	Delayed = 'late',
}

/** A table in memory whose calls meet the fates that a test prescribes. */
export class FakeTable extends Table {
	readonly rows = new Map<string, Row>();
	transactions = 0;
	private readonly late: Array<readonly ConditionalWrite[]> = [];

	/**
	@param nextOutcome - the fate of the next call
	*/
	constructor(public nextOutcome: () => TableCallOutcome = () => TableCallOutcome.Succeeded) {
		super();
	}

	async read(key: string): Promise<Row | undefined> {
		await this.meet(() => undefined);
		return this.rows.get(key);
	}

	async scan(prefix: string): Promise<readonly Row[]> {
		await this.meet(() => undefined);
		return [...this.rows.values()].filter(({key}) => key.startsWith(prefix));
	}

	async transact(writes: readonly ConditionalWrite[]): Promise<TransactionResult> {
		this.transactions++;
		return this.meet(() => this.apply(writes), writes);
	}

	/** Lets writes that seemed lost take effect. */
	applyDelayedWrites(): void {
		for (const writes of this.late.splice(0)) {
			this.apply(writes);
		}
	}

	private async meet<Value>(work: () => Value, writes: readonly ConditionalWrite[] = []): Promise<Value> {
		const fate = this.nextOutcome();
		// The caller goes on later, as after a real call, so that others come in between.
		await Promise.resolve();
		switch (fate) {
			case TableCallOutcome.Succeeded: {
				const value = work();
				await Promise.resolve();
				return value;
			}

			case TableCallOutcome.Refused: {
				throw new PlatformError('refused', false);
			}

			case TableCallOutcome.ResponseLost: {
				work();
				throw new PlatformError('the answer was lost', true);
			}

			case TableCallOutcome.Delayed: {
				this.late.push(writes);
				throw new PlatformError('no answer came', true);
			}
		}
	}

	private apply(writes: readonly ConditionalWrite[]): TransactionResult {
		const conflicts = writes.filter(({key, expected}) => (this.rows.get(key)?.version ?? 0) !== expected);
		if (conflicts.length > 0) {
			return {isApplied: false, conflicts: conflicts.map(({key}) => this.rows.get(key) ?? {key, version: 0, value: ''})};
		}

		for (const {key, expected, value} of writes) {
			this.rows.set(key, {key, version: expected + 1, value});
		}

		return {isApplied: true, conflicts: []};
	}
}
