import {type FinishReason} from '../backends/finish-reason.js';
import {type Failure} from '../results/failure.js';

/** Receives an answer. No method is called after `onFinish` or `onFail`. */
export type CompletionSink = {
	/** Receives tokens that arrived together, in order. */
	onTokens(tokens: readonly string[]): void;
	/** The answer is complete. */
	onFinish(reason: FinishReason): void;
	/** The answer failed and will not be completed. */
	onFail(failure: Failure): void;
};
