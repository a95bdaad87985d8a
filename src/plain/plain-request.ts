import {type Operation, type Workspace} from '../configuration/sheet-row.js';

/** A caller's request to a plain service. */
export type PlainRequest = {
	readonly id: string;
	readonly workspace: Workspace;
	readonly operation: Operation;
	readonly body: string;
	/** The Idempotency-Key; empty where none was sent. */
	readonly key: string;
	/** Monotonic time in milliseconds. */
	readonly deadline: number;
};
