import {type Row} from './row.js';

/** What became of a transaction: all of its writes or none took effect. */
export type TransactionResult = {
	readonly isApplied: boolean;
	/** The rows whose version was not the expected one, as they are; empty when it was applied. */
	readonly conflicts: readonly Row[];
};
