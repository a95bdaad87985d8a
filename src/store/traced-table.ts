import {type Metrics} from '../observation/metrics.js';
import {type Tracing} from '../observation/tracing.js';
import {type TimerService} from '../time/timer-service.js';
import {type Row} from './row.js';
import {Table} from './table.js';
import {type TransactionResult} from './transaction-result.js';
import {type ConditionalWrite} from './conditional-write.js';

/** Wraps a table so that its calls are traced, counted and timed. */
export class TracedTable extends Table {
	constructor(
		private readonly table: Table,
		private readonly tracing: Tracing,
		private readonly metrics: Metrics,
		private readonly timers: TimerService,
	) {
		super();
	}

	async read(key: string): Promise<Row | undefined> {
		return this.observe('read', async () => this.table.read(key));
	}

	async scan(prefix: string): Promise<readonly Row[]> {
		return this.observe('scan', async () => this.table.scan(prefix));
	}

	async transact(writes: readonly ConditionalWrite[]): Promise<TransactionResult> {
		return this.observe('write', async () => this.table.transact(writes));
	}

	private async observe<Value>(operation: string, work: () => Promise<Value>): Promise<Value> {
		const startedAt = this.timers.now();
		this.metrics.count('siskinnotch_table_calls_total', 1, {operation});
		try {
			return await this.tracing.runInSpan(`table ${operation}`, {}, work);
		} catch (error) {
			this.metrics.count('siskinnotch_table_errors_total', 1, {operation});
			throw error;
		} finally {
			this.metrics.record('siskinnotch_table_ms', this.timers.now() - startedAt);
		}
	}
}
