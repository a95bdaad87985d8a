import {type PlainAnswer} from '../backends/plain-answer.js';
import {type Execution} from '../results/execution.js';

/** What became of sending a call to a plain service. */
export type SendResult = {
	/** NotRun only where no byte left or the service itself said so. */
	readonly execution: Execution;
	/** Whether the service itself answered, so that its connection is not to blame. */
	readonly isServiceAnswer?: boolean;
	/** The service's answer, where one came. */
	readonly answer?: PlainAnswer;
	/** Why there is no answer. */
	readonly reason?: string;
};
