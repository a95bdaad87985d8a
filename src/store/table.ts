import {type Row} from './row.js';
import {type TransactionResult} from './transaction-result.js';
import {type ConditionalWrite} from './conditional-write.js';

/** The platform's transactional table. Each method throws PlatformError. */
export abstract class Table {
	/** Reads a row; undefined if it does not exist. */
	abstract read(key: string): Promise<Row | undefined>;

	/** Reads all rows whose key starts with the prefix, in the order of their keys. */
	abstract scan(prefix: string): Promise<readonly Row[]>;

	/** Applies all writes atomically, or none if any of them conflicts. */
	abstract transact(writes: readonly ConditionalWrite[]): Promise<TransactionResult>;
}
