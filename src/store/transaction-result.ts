import {type Row} from './row.js';

/** Result of a transaction; either all of its writes took effect or none did. */
export type TransactionResult = {
	readonly isApplied: boolean;
	/** The current rows whose version was not the expected one; empty if the transaction was applied. */
	readonly conflicts: readonly Row[];
};
