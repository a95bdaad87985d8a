import {type AnswerEstimate} from './answer-estimate.js';
import {AnswerEstimator, type AnswerRecord} from './answer-estimator.js';
import {type AnswerRequest} from './answer-request.js';
import {Predictor} from './predictor.js';

/** Predicts the mean that the configuration names for each answer. */
export class ConfiguredAnswers extends AnswerEstimator {
	estimateRemaining({maxAnswerTokens, usualAnswer}: AnswerRequest, writtenTokens: number): AnswerEstimate {
		const tokens = Math.max(0, Math.min(maxAnswerTokens, usualAnswer) - writtenTokens);
		return {tokens, error: tokens};
	}

	record(request: AnswerRequest): AnswerRecord {
		const estimate = this.estimate(request);
		return {estimate, predictions: [{predictor: Predictor.Configured, tokens: estimate.tokens, weight: 1}]};
	}
}
