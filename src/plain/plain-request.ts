import {type Operation, type Workspace} from '../configuration/sheet-row.js';

/** A caller's request to a plain service. */
export type PlainRequest = {
	readonly id: string;
	readonly workspace: Workspace;
	readonly operation: Operation;
	readonly body: string;
	/** The value of the Idempotency-Key header; empty if the caller sent none. */
	readonly key: string;
	/** Monotonic time in milliseconds. */
	readonly deadline: number;
};
