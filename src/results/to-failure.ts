import {Execution} from './execution.js';
import {Failure} from './failure.js';
import {ResultCode} from './result-code.js';

/** The message of anything that was thrown. */
export function getErrorMessage(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}

/**
Turns anything that was thrown into a Failure; an unforeseen error leaves the outcome unknown.

@param error - what was thrown
@returns the error itself where it is a Failure already
*/
export function toFailure(error: unknown): Failure {
	return error instanceof Failure ? error : new Failure(ResultCode.InternalError, getErrorMessage(error), Execution.Unknown);
}
