import {type SheetProblem} from './sheet-problem.js';

/** A planner's sheet on its way to acceptance. */
export type Submission = {
	/** CSV text. */
	readonly text: string;
	/** The version that the planner saw. */
	readonly seen: number;
	readonly planner: string;
	/** Identifies the submission; a repetition carries the same one. */
	readonly id: string;
};

/** What became of a submission. */
export type SubmissionResult = {
	/** The version that holds the sheet, where it was accepted. */
	readonly version?: number;
	/** Whether it was in force already. */
	readonly isUnchanged: boolean;
	readonly problems: readonly SheetProblem[];
	/** Number of instances, this one among them, that are known to have it in force; 0 where it was not accepted. */
	readonly inForce: number;
	/** Number of instances that are alive. */
	readonly instances: number;
};
