import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {type AnswerEstimator, type AnswerRecord} from './answer-estimator.js';
import {type AnswerRequest} from './answer-request.js';

/** Label of the weighted estimate among the predictors. */
const weightedEstimate = 'weighted';
/** Decimal places of a weight in a log line. */
const weightDigits = 2;

/** Records how answers ended, and reports how far the predictions of them were off. */
export class AnswerRecorder {
	constructor(readonly estimator: AnswerEstimator, private readonly metrics: Metrics, private readonly log: DecisionLog) {}

	/**
	Records the end of an answer.

	@param isComplete - false for an answer that was cut or cancelled, or whose caller left
	*/
	record(requestId: string, request: AnswerRequest, writtenTokens: number, isComplete: boolean): void {
		const record = this.estimator.record(request, writtenTokens, isComplete);
		const {estimate, predictions} = record;
		this.metrics.count('siskinnotch_answers', 1, {route: request.route, outcome: isComplete ? 'complete' : 'lost'});
		// How long a lost answer would have been is not known, so neither is the error.
		if (isComplete) {
			this.countErrors(request.route, record, writtenTokens);
		}

		const used = predictions.filter(({weight}) => weight > 0);
		this.log.write('answer.length', {
			request: requestId,
			route: request.route,
			isComplete,
			tokens: writtenTokens,
			estimate: Math.round(estimate.tokens),
			expectedError: Math.round(estimate.error),
			callerEstimate: request.answerEstimate === undefined ? undefined : Math.round(request.answerEstimate),
			configured: request.usualAnswer,
			...Object.fromEntries(used.map(({predictor, tokens, weight}) => [`${predictor}Predictor`, `${Math.round(tokens)} x ${weight.toFixed(weightDigits)}`])),
		});
	}

	private countErrors(route: string, {estimate, predictions}: AnswerRecord, writtenTokens: number): void {
		for (const {predictor, tokens} of [...predictions, {predictor: weightedEstimate, tokens: estimate.tokens}]) {
			this.metrics.count('siskinnotch_answer_predictions', 1, {route, predictor});
			this.metrics.count('siskinnotch_answer_error_tokens', Math.abs(tokens - writtenTokens), {route, predictor});
		}
	}
}
