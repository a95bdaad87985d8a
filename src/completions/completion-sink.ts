import {type FinishReason} from '../backends/finish-reason.js';
import {type Failure} from '../results/failure.js';

/** Receives an answer. After `onFinish` or `onFail` it hears nothing more. */
export type CompletionSink = {
	/** Tokens that arrived together, in order. */
	onTokens(tokens: readonly string[]): void;
	/** The answer is whole. */
	onFinish(reason: FinishReason): void;
	/** The answer will not become whole. */
	onFail(failure: Failure): void;
};
