import {PlatformError} from '../../src/store/platform-error.js';
import {type Row} from '../../src/store/row.js';
import {Table} from '../../src/store/table.js';
import {type TransactionResult} from '../../src/store/transaction-result.js';
import {type ConditionalWrite} from '../../src/store/conditional-write.js';

/** Outcome of a call of the fake table. */
export enum TableCallOutcome {
	Succeeded = 'answered',
	/** The call has no effect, and the caller knows that. */
	Refused = 'refused',
	/** The call takes effect, but the response is lost. */
	ResponseLost = 'answer_lost',
	/** The call seems lost, but takes effect later. */
	Delayed = 'late',
}

/** In-memory table whose calls have the outcomes that a test prescribes. */
export class FakeTable extends Table {
	readonly rows = new Map<string, Row>();
	transactions = 0;
	private readonly delayedWrites: Array<readonly ConditionalWrite[]> = [];

	/**
	@param nextOutcome - returns the outcome of the next call
	*/
	constructor(public nextOutcome: () => TableCallOutcome = () => TableCallOutcome.Succeeded) {
		super();
	}

	async read(key: string): Promise<Row | undefined> {
		await this.simulateCall(() => undefined);
		return this.rows.get(key);
	}

	async scan(prefix: string): Promise<readonly Row[]> {
		await this.simulateCall(() => undefined);
		return [...this.rows.values()].filter(({key}) => key.startsWith(prefix));
	}

	async transact(writes: readonly ConditionalWrite[]): Promise<TransactionResult> {
		this.transactions++;
		return this.simulateCall(() => this.apply(writes), writes);
	}

	/** Applies the writes of delayed calls. */
	applyDelayedWrites(): void {
		for (const writes of this.delayedWrites.splice(0)) {
			this.apply(writes);
		}
	}

	private async simulateCall<Value>(work: () => Value, writes: readonly ConditionalWrite[] = []): Promise<Value> {
		const outcome = this.nextOutcome();
		// Yields as a real call does, so that other calls can interleave.
		await Promise.resolve();
		switch (outcome) {
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
				throw new PlatformError('the response was lost', true);
			}

			case TableCallOutcome.Delayed: {
				this.delayedWrites.push(writes);
				throw new PlatformError('no response received', true);
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
