import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {type AnswerEstimator, type AnswerRecord} from './answer-estimator.js';
import {type AnswerRequest} from './answer-request.js';
import {type ServiceTimes} from './service-times.js';

/** Label of the weighted estimate among the predictors. */
const weightedEstimate = 'weighted';
/** Decimal places of a weight in a log line. */
const weightDigits = 2;

/** The end of an answer. */
export type AnswerEnd = {
	readonly writtenTokens: number;
	/** False for an answer that was cut or cancelled, or whose caller left. */
	readonly isComplete: boolean;
	readonly service: string;
	/** Milliseconds from the first event to the last one, as predicted for the tokens that were written, and as they were; undefined if the answer came along several pipelines. */
	readonly duration?: {readonly predicted: number; readonly actual: number};
};

/** Records how answers ended, and reports how far the predictions of them were off. */
export class AnswerRecorder {
	constructor(readonly estimator: AnswerEstimator, readonly times: ServiceTimes, private readonly metrics: Metrics, private readonly log: DecisionLog) {}

	/** Records the end of an answer. */
	record(requestId: string, request: AnswerRequest, {writtenTokens, isComplete, service, duration}: AnswerEnd): void {
		const record = this.estimator.record(request, writtenTokens, isComplete);
		const {estimate, predictions} = record;
		this.metrics.count('siskinnotch_answers', 1, {route: request.route, outcome: isComplete ? 'complete' : 'lost'});
		// How long a lost answer would have been is not known, so neither is the error.
		if (isComplete) {
			this.countErrors(request.route, record, writtenTokens);
		}

		const expectedMs = duration && this.times.correct(service, duration.predicted);
		if (duration && expectedMs !== undefined) {
			this.metrics.count('siskinnotch_answer_durations', 1, {service});
			this.metrics.count('siskinnotch_answer_duration_error_ms', Math.abs(expectedMs - duration.actual), {service});
			this.times.record(service, duration.predicted, duration.actual);
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
			durationMs: duration && Math.round(duration.actual),
			expectedMs: expectedMs === undefined ? undefined : Math.round(expectedMs),
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
