import {type Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {resultTable} from '../results/result-table.js';

/** Response header that says whether the work of the request was carried out. */
export const executionHeader = 'x-execution';

/** The body of every error response: the error object that OpenAI's clients read, with the result code and whether the work was carried out. */
export type ErrorBody = {
	readonly error: {
		readonly message: string;
		readonly type: string;
		/** Name of the result code. */
		readonly code: string;
		/** Number of the result code. */
		readonly number: number;
		/** Whether this request, not an earlier attempt, was carried out: `not_run`, `run` or `unknown`. */
		readonly execution: string;
		readonly retryAfterSeconds?: number;
	};
};

/** Returns the HTTP status for a failure. */
export function getHttpStatus(failure: Failure): number {
	return resultTable[failure.code].status;
}

/** Creates the response body for a failure. */
export function createErrorBody(failure: Failure): ErrorBody {
	return {
		error: {
			message: failure.message,
			type: 'siskinnotch_refusal',
			code: ResultCode[failure.code],
			number: failure.code,
			execution: failure.execution,
			retryAfterSeconds: failure.retryAfterSeconds,
		},
	};
}
