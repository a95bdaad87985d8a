import {Execution} from './execution.js';
import {type ResultCode} from './result-code.js';
import {resultTable} from './result-table.js';

/**
A refusal or failure: its result code, whether the work was carried out, and when to retry.

@example
```
throw new Failure(ResultCode.Overloaded, 'the queue holds 200 requests');
```
*/
export class Failure extends Error {
	/** Seconds after which to retry the request; undefined if a retry is pointless. */
	readonly retryAfterSeconds?: number;

	/**
	@param execution - whether the work was carried out
	@param retryAfterSeconds - overrides the default delay of the result code
	*/
	constructor(
		readonly code: ResultCode,
		message: string,
		readonly execution: Execution = Execution.NotRun,
		retryAfterSeconds?: number,
	) {
		super(message);
		this.name = 'Failure';
		this.retryAfterSeconds = retryAfterSeconds ?? resultTable[code].retryAfterSeconds;
	}
}
