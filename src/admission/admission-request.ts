import {type Priority} from '../configuration/priority.js';

/** A request for admission. */
export type AdmissionRequest = {
	readonly id: string;
	readonly workspace: string;
	readonly priority: Priority;
	/** Guaranteed share of the capacity of the workspace, in percent. */
	readonly share: number;
	/** Expected use in tokens. */
	readonly cost: number;
	/** Monotonic time in milliseconds by which the request must be finished. */
	readonly deadline: number;
	/** Lower bound in milliseconds for the time that the request takes once it is admitted. */
	readonly expectedDuration: number;
};
