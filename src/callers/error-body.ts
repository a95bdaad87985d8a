import {type Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {resultTable} from '../results/result-table.js';

/** The header that tells what came of the work. */
export const executionHeader = 'x-execution';

/** The body of every refusal: the error object that OpenAI's clients read, with the result code and what came of the work. */
export type ErrorBody = {
	readonly error: {
		readonly message: string;
		readonly type: string;
		/** Name of the result code. */
		readonly code: string;
		/** Number of the result code. */
		readonly number: number;
		/** `not_run`, `run` or `unknown`; about this request alone. */
		readonly execution: string;
		readonly retryAfterSeconds?: number;
	};
};

/** The HTTP status of a refusal. */
export function getHttpStatus(failure: Failure): number {
	return resultTable[failure.code].status;
}

/** The body of a refusal. */
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
