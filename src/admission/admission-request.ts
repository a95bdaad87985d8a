import {type Priority} from '../configuration/priority.js';

/** A request that wants to be admitted. */
export type AdmissionRequest = {
	readonly id: string;
	readonly workspace: string;
	readonly priority: Priority;
	/** Percent of the capacity that is due to the workspace. */
	readonly share: number;
	/** Tokens that it is expected to use. */
	readonly cost: number;
	/** Monotonic time in milliseconds by which its work must be done. */
	readonly deadline: number;
	/** Milliseconds that its work takes once admitted, at least. */
	readonly expectedDuration: number;
};
