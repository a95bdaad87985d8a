import {type ServerResponse} from 'node:http';

/** The state of one attempt at an engine simulator. */
export type AttemptState = {
	/** Number of work items received. */
	received: number;
	/** Number of work items run and passed on. */
	forwarded: number;
	/** Lines sent so far, one a token, if this is the last stage. The first line has the token index `firstIndex`. */
	readonly lines: string[];
	firstIndex: number;
	response?: ServerResponse;
	isCancelled: boolean;
	isFinished: boolean;
	/** Position at which the next work item must start; -1 before the first one. */
	nextPosition: number;
};

/** Creates the state of a new attempt. */
export function createAttemptState(): AttemptState {
	return {
		received: 0, forwarded: 0, lines: [], firstIndex: 0, isCancelled: false, isFinished: false, nextPosition: -1,
	};
}
