import {type AnswerEstimate} from './answer-estimate.js';
import {type AnswerRequest} from './answer-request.js';
import {lengthBuckets, ratioBuckets} from './log-buckets.js';
import {type Predictor} from './predictor.js';
import {SurvivalCurve} from './survival-curve.js';

/** A predictor's distribution of the length of one answer, and its weight. */
export type Forecast = {
	readonly predictor: Predictor;
	readonly curve: SurvivalCurve;
	/** Factor by which the lengths were multiplied, because earlier answers were longer or shorter than predicted. */
	readonly correction: number;
	readonly weight: number;
};

/** Ratios of actual to estimated length are averaged over this many buckets, since few of them are observed at first. */
const smoothedBuckets = 5;
/** Probability of each ratio that is assumed at least, so that an estimate which was never as wrong before does not exclude what is likely without it. */
const minLikelihood = 1e-3;

/** Returns the probability of the ratios close to one. */
function computeLikelihood(ratios: SurvivalCurve, ratio: number): number {
	const center = ratioBuckets.locate(ratio);
	const reach = Math.floor(smoothedBuckets / 2);
	let sum = 0;
	for (let index = Math.max(0, center - reach); index <= Math.min(ratioBuckets.count - 1, center + reach); index++) {
		sum += ratios.getWeight(index);
	}

	return minLikelihood + (sum / smoothedBuckets);
}

/** Returns the distribution of the length of an answer given its caller's estimate, by Bayes' rule. */
export function combineWithHint(lengths: SurvivalCurve, ratios: SurvivalCurve, hint: number): SurvivalCurve {
	const weights = lengthBuckets.edges.map((_, index) => lengths.getWeight(index) * computeLikelihood(ratios, lengthBuckets.getMiddle(index) / hint));
	return SurvivalCurve.fromWeights(lengthBuckets, weights);
}

/** The predicted length of one answer, as predicted before it began. */
export class AnswerForecast {
	private readonly mixture: SurvivalCurve;

	/**
	@param parts - the predictions; weights add up to 1
	*/
	constructor(private readonly request: AnswerRequest, readonly parts: readonly Forecast[]) {
		this.mixture = SurvivalCurve.mix(lengthBuckets, parts);
	}

	/** Returns the mean length according to one predictor's distribution. */
	computeTokens(curve: SurvivalCurve): number {
		return curve.computeMeanExcess(0, this.request.maxAnswerTokens) ?? 0;
	}

	/** Returns the tokens that are still to come of an answer that has some. */
	estimateRemaining(writtenTokens: number): AnswerEstimate {
		const {maxAnswerTokens} = this.request;
		const limit = Math.max(0, maxAnswerTokens - writtenTokens);
		const excess = this.mixture.computeMeanExcess(writtenTokens, maxAnswerTokens);
		if (excess === undefined) {
			return {tokens: limit, error: limit};
		}

		return {
			tokens: Math.min(limit, excess),
			error: this.mixture.computeMeanDistance(writtenTokens + excess, writtenTokens, maxAnswerTokens),
		};
	}
}
