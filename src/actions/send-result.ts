import {type PlainAnswer} from '../backends/plain-answer.js';
import {type Execution} from '../results/execution.js';

/** The result of sending a call to a plain service. */
export type SendResult = {
	/** NotRun only if no byte of the request was sent or the service itself reported that it did not run the call. */
	readonly execution: Execution;
	/** Whether the service itself responded, so that its server is not suspected. */
	readonly isServiceAnswer?: boolean;
	/** The answer of the service; undefined if there is none. */
	readonly answer?: PlainAnswer;
	/** Why there is no answer, in words. */
	readonly reason?: string;
};
