import {AnswerForecast, combineWithHint, type Forecast} from './answer-forecast.js';
import {type AnswerRequest} from './answer-request.js';
import {CensoredHistogram} from './censored-histogram.js';
import {createLengthPrior, ratioPrior} from './length-priors.js';
import {lengthBuckets, ratioBuckets} from './log-buckets.js';
import {ObservationEnd} from './observation-end.js';
import {Predictor} from './predictor.js';
import {PredictorError} from './predictor-error.js';
import {type SurvivalCurve} from './survival-curve.js';

/** Answers that the assumptions without observations count as. */
const priorCount = 10;
/** Mean squared error of the predictors that is assumed without observations, relative to that of the mean. A caller's estimate that nobody has checked counts little by itself. The configured mean has no weight of its own, as the lengths of the route begin with it; it is measured for comparison. */
const priorSquares: Readonly<Record<Predictor, number>> = {
	[Predictor.Configured]: Number.POSITIVE_INFINITY, [Predictor.Route]: 1, [Predictor.Hint]: 2, [Predictor.Combined]: 0.9,
};
/** Squared standard deviation of answer lengths that is assumed without observations, relative to their squared mean. */
const priorVariance = 0.64;
/** Power of a predictor's mean squared error by which its weight falls. */
const weightPower = 6;
/** Share of the answers of a length that must not have been lost for the others to be inferred from them in full. */
const minObservability = 0.2;

/** What is known of the answers of one route. */
export class RouteLengths {
	private readonly lengths: CensoredHistogram;
	private readonly ratios: CensoredHistogram;
	private readonly errors: Readonly<Record<Predictor, PredictorError>>;
	/** Created again for another configured mean. */
	private prior?: {readonly usualAnswer: number; readonly curve: SurvivalCurve};
	/** Created again after each record, or for another configured mean. */
	private curves?: {readonly prior: SurvivalCurve; readonly lengths: SurvivalCurve; readonly ratios: SurvivalCurve};

	/**
	@param decay - factor by which an answer counts less after each further one
	*/
	constructor(decay: number) {
		this.lengths = new CensoredHistogram(lengthBuckets, decay);
		this.ratios = new CensoredHistogram(ratioBuckets, decay);
		this.errors = {
			[Predictor.Configured]: new PredictorError(decay),
			[Predictor.Route]: new PredictorError(decay),
			[Predictor.Hint]: new PredictorError(decay),
			[Predictor.Combined]: new PredictorError(decay),
		};
	}

	/** Mean absolute error of a predictor in tokens; undefined if none was recorded. */
	getError(predictor: Predictor): number | undefined {
		return this.errors[predictor].meanAbsolute;
	}

	/** Predicts the length of an answer that has not begun. */
	forecast(request: AnswerRequest): AnswerForecast {
		const {prior, lengths, ratios} = this.getCurves(request.usualAnswer);
		const candidates = [{predictor: Predictor.Configured, curve: prior, correction: 1}, {predictor: Predictor.Route, curve: lengths, correction: 1}];
		const hint = request.answerEstimate;
		if (hint !== undefined) {
			const correction = this.computeCorrection(Predictor.Hint, request);
			const combinedCorrection = this.computeCorrection(Predictor.Combined, request);
			candidates.push(
				{predictor: Predictor.Hint, curve: ratios.scale(lengthBuckets, hint * correction), correction},
				{predictor: Predictor.Combined, curve: combineWithHint(lengths, ratios, hint).scale(lengthBuckets, combinedCorrection), correction: combinedCorrection},
			);
		}

		return new AnswerForecast(request, this.weigh(candidates, request.usualAnswer));
	}

	/** Records the end of an answer and what was predicted of it. */
	record(request: AnswerRequest, forecast: AnswerForecast, writtenTokens: number, isComplete: boolean): void {
		const isBounded = writtenTokens >= request.maxAnswerTokens;
		if (isComplete || isBounded) {
			this.recordErrors(forecast, writtenTokens);
		}

		const end = isBounded ? ObservationEnd.Bounded : (isComplete ? ObservationEnd.Complete : ObservationEnd.Lost);
		this.lengths.add(writtenTokens, end);
		if (request.answerEstimate !== undefined) {
			this.ratios.add(writtenTokens / request.answerEstimate, end);
		}

		this.curves = undefined;
	}

	/** Each answer stands for those of its length that were lost as well: long ones are lost more often. */
	private recordErrors(forecast: AnswerForecast, actual: number): void {
		const weight = 1 / Math.max(minObservability, this.lengths.computeObservability(actual));
		for (const {predictor, curve, correction} of forecast.parts) {
			const predicted = forecast.computeTokens(curve);
			this.errors[predictor].add({
				predicted, correction, actual, weight,
			});
		}
	}

	private weigh(candidates: ReadonlyArray<Omit<Forecast, 'weight'>>, usualAnswer: number): readonly Forecast[] {
		const square = priorVariance * (usualAnswer ** 2);
		const logs = candidates.map(({predictor}) => -weightPower * Math.log(Math.max(1, this.errors[predictor].computeMeanSquare(priorSquares[predictor] * square, priorCount))));
		const highest = Math.max(...logs);
		const weights = logs.map(log => Math.exp(log - highest));
		let total = 0;
		for (const weight of weights) {
			total += weight;
		}

		return candidates.map((candidate, index) => ({...candidate, weight: weights[index] / total}));
	}

	private computeCorrection(predictor: Predictor, {usualAnswer}: AnswerRequest): number {
		return this.errors[predictor].computeCorrection(priorCount * usualAnswer);
	}

	private getCurves(usualAnswer: number): NonNullable<RouteLengths['curves']> {
		if (this.prior?.usualAnswer !== usualAnswer) {
			this.prior = {usualAnswer, curve: createLengthPrior(usualAnswer)};
			this.curves = undefined;
		}

		const {curve: prior} = this.prior;
		this.curves ??= {prior, lengths: this.lengths.createCurve(prior, priorCount), ratios: this.ratios.createCurve(ratioPrior, priorCount)};
		return this.curves;
	}
}
