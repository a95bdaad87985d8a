import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';

/** How far a stream had come. */
export type StreamProgress = {
	readonly attempts: number;
	/** Tokens that the caller has. */
	readonly delivered: number;
};

/** The failure of a stream that is given up: not run only if no attempt was begun, and explicit where the caller has a part. */
export function createStreamFailure(code: ResultCode, message: string, {attempts, delivered}: StreamProgress): Failure {
	const execution = attempts > 0 ? Execution.Unknown : Execution.NotRun;
	if (delivered > 0 && code !== ResultCode.DeadlinePassed) {
		return new Failure(ResultCode.StreamInterrupted, `the answer ended after ${delivered} tokens: ${message}`, execution);
	}

	return new Failure(code, message, execution);
}
