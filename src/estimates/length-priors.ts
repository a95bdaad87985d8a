import {lengthBuckets, ratioBuckets, type LogBuckets} from './log-buckets.js';
import {SurvivalCurve} from './survival-curve.js';

/** Standard deviation of the natural logarithm of answer lengths that is assumed without observations. The lengths then have a standard deviation of 0.8 of their mean. */
const lengthDeviation = 0.7;
/** Standard deviation of the natural logarithm of the ratio of actual to estimated length that is assumed without observations. */
const ratioDeviation = 0.8;
/** Steps in which the distribution is moved until its mean is right. */
const fittingSteps = 8;

/** Returns the probability that a standard normal value exceeds a bound (Abramowitz and Stegun 26.2.17). */
function computeNormalTail(bound: number): number {
	if (bound < 0) {
		return 1 - computeNormalTail(-bound);
	}

	const t = 1 / (1 + (0.231_641_9 * bound));
	const polynomial = t * (0.319_381_53 + (t * (-0.356_563_782 + (t * (1.781_477_937 + (t * (-1.821_255_978 + (t * 1.330_274_429))))))));
	return Math.exp(-(bound ** 2) / 2) / Math.sqrt(2 * Math.PI) * polynomial;
}

/** Creates the curve of a log-normal distribution with a median. */
function createLogNormal(buckets: LogBuckets, median: number, deviation: number): SurvivalCurve {
	const atEdges = buckets.edges.map(edge => computeNormalTail(Math.log(edge / median) / deviation));
	atEdges[atEdges.length - 1] = 0;
	return new SurvivalCurve(buckets, atEdges);
}

/** Distribution of the ratio of actual to estimated length that is assumed without observations: estimates are right at the median. */
export const ratioPrior = createLogNormal(ratioBuckets, 1, ratioDeviation);

/** Creates the distribution of answer lengths that is assumed without observations, from the mean that the configuration names. */
export function createLengthPrior(mean: number): SurvivalCurve {
	let median = mean / Math.exp((lengthDeviation ** 2) / 2);
	let curve = createLogNormal(lengthBuckets, median, lengthDeviation);
	for (let step = 0; step < fittingSteps; step++) {
		median *= mean / (curve.computeMeanExcess(0) ?? mean);
		curve = createLogNormal(lengthBuckets, median, lengthDeviation);
	}

	return curve;
}
