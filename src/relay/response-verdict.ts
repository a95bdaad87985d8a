import {type ResponseHead} from './response-head.js';

const minServerErrorStatus = 500;
const minNonSuccessStatus = 300;
/** A response with a status above this one is not passed on to the caller. */
const maxPassedStatus = 599;

/** What becomes of a response to a plain request. */
export enum ResponseVerdict {
	/** The response is passed on. */
	Final = 'final',
	/** The server states that it did not execute the request. */
	NotExecuted = 'not_executed',
	/** The response would tell the caller that the request was not executed, which the server does not state. */
	UnfoundedRefusal = 'unfounded_refusal',
	ServerError = 'server_error',
	/** The response may come from something else than the server. */
	Unsigned = 'unsigned',
	/** The response ends with its connection, so it may be truncated. */
	Undelimited = 'undelimited',
}

/** Assesses a response by its head. */
export function assessResponse(head: ResponseHead, isUnfoundedRefusal: boolean): ResponseVerdict {
	if (head.isNotExecuted) {
		return ResponseVerdict.NotExecuted;
	}

	if (isUnfoundedRefusal) {
		return ResponseVerdict.UnfoundedRefusal;
	}

	if (head.status >= minServerErrorStatus) {
		return ResponseVerdict.ServerError;
	}

	if (!head.isSigned && head.status < minNonSuccessStatus) {
		return ResponseVerdict.Unsigned;
	}

	return head.isSelfDelimited ? ResponseVerdict.Final : ResponseVerdict.Undelimited;
}

const statements: Readonly<Record<ResponseVerdict, (status: number) => string>> = {
	[ResponseVerdict.Final]: status => `the server responded with status ${status}`,
	[ResponseVerdict.NotExecuted]: status => `the server did not execute the request (status ${status})`,
	[ResponseVerdict.UnfoundedRefusal]: status => `the server responded with status ${status} without stating that it did not execute the request`,
	[ResponseVerdict.ServerError]: status => `the server responded with status ${status}`,
	[ResponseVerdict.Unsigned]: () => 'the response is not signed',
	[ResponseVerdict.Undelimited]: () => 'the response ends with its connection, so it may be truncated',
};

/** Returns a statement of what is known about a response. */
export function describeVerdict(verdict: ResponseVerdict, status: number): string {
	return statements[verdict](status);
}

/** Whether a response is passed on if the request can't be retried. */
export function isPassable(verdict: ResponseVerdict, status: number): boolean {
	return verdict === ResponseVerdict.Undelimited || (verdict === ResponseVerdict.ServerError && status <= maxPassedStatus);
}
