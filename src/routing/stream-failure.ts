import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';

/** Progress of a stream at the time of its failure. */
export type StreamProgress = {
	readonly attempts: number;
	/** Number of tokens delivered to the caller. */
	readonly delivered: number;
};

/** Creates the failure of a stream. Its execution is NotRun only if no attempt was started; if the caller already has tokens, the code is StreamInterrupted, except after the deadline. */
export function createStreamFailure(code: ResultCode, message: string, {attempts, delivered}: StreamProgress): Failure {
	const execution = attempts > 0 ? Execution.Unknown : Execution.NotRun;
	if (delivered > 0 && code !== ResultCode.DeadlinePassed) {
		return new Failure(ResultCode.StreamInterrupted, `the stream was interrupted after ${delivered} tokens: ${message}`, execution);
	}

	return new Failure(code, message, execution);
}
