import {type AnswerEstimate} from './answer-estimate.js';
import {type AnswerRequest} from './answer-request.js';
import {type Predictor} from './predictor.js';

/** How an answer ended, compared with what was predicted of it before it began. */
export type AnswerRecord = {
	readonly estimate: AnswerEstimate;
	/** Tokens that each predictor gave, with its weight in the estimate. */
	readonly predictions: ReadonlyArray<{readonly predictor: Predictor; readonly tokens: number; readonly weight: number}>;
};

/** Predicts the tokens of answers. A request is identified by its object, so the same one is passed to all calls. */
export abstract class AnswerEstimator {
	/** Returns the predicted tokens of an answer that has not begun. */
	estimate(request: AnswerRequest): AnswerEstimate {
		return this.estimateRemaining(request, 0);
	}

	/** Returns the predicted tokens that are still to come of an answer that has some. */
	abstract estimateRemaining(request: AnswerRequest, writtenTokens: number): AnswerEstimate;

	/**
	Records the end of an answer.

	@param isComplete - false for an answer that was cut or cancelled, or whose caller left
	*/
	abstract record(request: AnswerRequest, writtenTokens: number, isComplete: boolean): AnswerRecord;
}
