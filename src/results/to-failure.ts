import {Execution} from './execution.js';
import {Failure} from './failure.js';
import {ResultCode} from './result-code.js';

/** Returns the message of a thrown value of any type. */
export function getErrorMessage(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}

/**
Converts a thrown value of any type to a `Failure`; an unexpected error leaves the execution unknown.

@param error - the value that was thrown
@returns the value itself if it is a `Failure`
*/
export function toFailure(error: unknown): Failure {
	return error instanceof Failure ? error : new Failure(ResultCode.InternalError, getErrorMessage(error), Execution.Unknown);
}
