import {type SheetProblem} from './sheet-problem.js';

/** A sheet as a planner submits it. */
export type Submission = {
	/** CSV text. */
	readonly text: string;
	/** The newest version that the planner saw; the sheet is accepted only over this version. */
	readonly seen: number;
	/** Name of the planner, for the history. */
	readonly planner: string;
	/** Identifies the submission; a retry has the same id. */
	readonly id: string;
};

/** The result of a submission. */
export type SubmissionResult = {
	/** The version that contains the sheet; undefined if it was not accepted. */
	readonly version?: number;
	/** Whether the same sheet was already in force before this submission. */
	readonly isUnchanged: boolean;
	readonly problems: readonly SheetProblem[];
	/** Number of instances, including this one, that have confirmed the version; 0 if it was not accepted. */
	readonly inForce: number;
	/** Number of live instances, including this one; 0 if the sheet was not accepted. */
	readonly instances: number;
};
