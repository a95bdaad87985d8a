import {type ServerResponse} from 'node:http';

/** What an engine knows of one attempt. */
export type AttemptState = {
	received: number;
	forwarded: number;
	/** Lines of the tokens sent so far, at the last stage; the first has the index `firstIndex`. */
	readonly lines: string[];
	firstIndex: number;
	response?: ServerResponse;
	isCancelled: boolean;
	isFinished: boolean;
	/** Position that must come next; -1 before the first work. */
	nextPosition: number;
};

export function createAttemptState(): AttemptState {
	return {
		received: 0, forwarded: 0, lines: [], firstIndex: 0, isCancelled: false, isFinished: false, nextPosition: -1,
	};
}
