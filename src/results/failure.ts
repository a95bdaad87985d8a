import {Execution} from './execution.js';
import {type ResultCode} from './result-code.js';
import {resultTable} from './result-table.js';

/**
A refusal or failure with its numbered code, whether the work was run, and when to come back.

@example
```
throw new Failure(ResultCode.Overloaded, 'the queue holds 200 requests');
```
*/
export class Failure extends Error {
	/** Seconds after which repeating the request makes sense; undefined where it does not. */
	readonly retryAfterSeconds?: number;

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
