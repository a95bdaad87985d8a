import {type StoreAccess} from '../replication/store-access.js';
import {type TimerService} from '../time/timer-service.js';
import {type ConditionalWrite} from './conditional-write.js';
import {PlatformError} from './platform-error.js';
import {type Row} from './row.js';
import {Table} from './table.js';
import {type TransactionResult} from './transaction-result.js';

/** A table that makes no calls while the store refuses this instance, except for a probe when one is due. Other calls fail at once and have no effect. */
export class CircuitBreakerTable extends Table {
	constructor(private readonly table: Table, private readonly access: StoreAccess, private readonly timers: TimerService) {
		super();
	}

	async read(key: string): Promise<Row | undefined> {
		return this.call(async () => this.table.read(key));
	}

	async scan(prefix: string): Promise<readonly Row[]> {
		return this.call(async () => this.table.scan(prefix));
	}

	async transact(writes: readonly ConditionalWrite[]): Promise<TransactionResult> {
		return this.call(async () => this.table.transact(writes));
	}

	private async call<Value>(work: () => Promise<Value>): Promise<Value> {
		const {access, timers} = this;
		const call = access.begin(timers.now());
		if (!call) {
			throw new PlatformError('the store refuses this instance, and the next probe is not due', false);
		}

		try {
			const value = await work();
			access.recordAnswer(call, timers.now());
			return value;
		} catch (error) {
			access.recordFailure(call, timers.now());
			throw error;
		}
	}
}
