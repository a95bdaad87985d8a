import {type LogBuckets} from './log-buckets.js';

/** Probability that a value exceeds a bound. Values are distributed evenly within a bucket. */
export class SurvivalCurve {
	/** Creates the curve of a distribution given by the weight of each bucket. */
	static fromWeights(buckets: LogBuckets, weights: Float64Array): SurvivalCurve {
		const atEdges = new Float64Array(weights.length);
		let above = 0;
		for (let index = weights.length - 1; index > 0; index--) {
			above += weights[index];
			atEdges[index - 1] = above;
		}

		const total = above + weights[0];
		return new SurvivalCurve(buckets, atEdges.map(weight => weight / total));
	}

	/** Creates the weighted mean of curves over the same buckets. Weights add up to 1. */
	static mix(buckets: LogBuckets, parts: ReadonlyArray<{readonly curve: SurvivalCurve; readonly weight: number}>): SurvivalCurve {
		const atEdges = new Float64Array(buckets.count);
		for (const {curve, weight} of parts) {
			for (const [index, probability] of curve.atEdges.entries()) {
				atEdges[index] += weight * probability;
			}
		}

		return new SurvivalCurve(buckets, atEdges);
	}

	/**
	@param atEdges - probability that a value exceeds the upper edge of each bucket; 0 at the last one
	*/
	constructor(private readonly buckets: LogBuckets, private readonly atEdges: Float64Array) {}

	/** Returns the probability that the value exceeds a bound. */
	at(bound: number): number {
		const index = this.buckets.locate(bound);
		const lower = this.buckets.getLowerEdge(index);
		const fraction = Math.min(1, Math.max(0, (bound - lower) / (this.buckets.edges[index] - lower)));
		const before = this.getBefore(index);
		return before + (fraction * (this.atEdges[index] - before));
	}

	/** Returns the probability that the value lies within a bucket. */
	getWeight(index: number): number {
		// Rounding may make the difference negative.
		return Math.max(0, this.getBefore(index) - this.atEdges[index]);
	}

	/** Returns the curve of the values multiplied by a factor, over other buckets. */
	scale(buckets: LogBuckets, factor: number): SurvivalCurve {
		const atEdges = buckets.edges.map(edge => this.at(edge / factor));
		atEdges[atEdges.length - 1] = 0;
		return new SurvivalCurve(buckets, atEdges);
	}

	/**
	Returns how far the value exceeds `from` on average, given that it does. Values above `to` count as `to`.

	@returns undefined if no value exceeds `from`
	*/
	computeMeanExcess(from: number, to = Number.POSITIVE_INFINITY): number | undefined {
		const given = this.at(from);
		if (given <= 0) {
			return undefined;
		}

		let area = 0;
		let lower = from;
		let lowerProbability = given;
		for (let index = this.buckets.locate(from); index < this.buckets.count && lower < to; index++) {
			const upper = Math.min(to, this.buckets.edges[index]);
			if (upper > lower) {
				const upperProbability = this.at(upper);
				area += (upper - lower) * (lowerProbability + upperProbability) / 2;
				lower = upper;
				lowerProbability = upperProbability;
			}
		}

		return area / given;
	}

	/** Returns the mean distance from `center` of the values above `from`. Values above `to` count as `to`. */
	computeMeanDistance(center: number, from: number, to: number): number {
		const given = this.at(from);
		let sum = 0;
		for (let index = this.buckets.locate(from); index < this.buckets.count; index++) {
			const lower = Math.max(from, this.buckets.getLowerEdge(index));
			const weight = Math.max(0, Math.min(given, this.getBefore(index)) - this.atEdges[index]);
			sum += weight * Math.abs(Math.min(to, (lower + this.buckets.edges[index]) / 2) - center);
		}

		return given > 0 ? sum / given : 0;
	}

	private getBefore(index: number): number {
		return index === 0 ? 1 : this.atEdges[index - 1];
	}
}
