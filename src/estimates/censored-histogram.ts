import {type LogBuckets} from './log-buckets.js';
import {ObservationEnd} from './observation-end.js';
import {SurvivalCurve} from './survival-curve.js';

/** Share by which the observations that ended otherwise within a bucket count as observed there. */
const sameBucketShare = 0.5;

/**
Distribution of values of which some were observed only in part.

A value that was not observed to its end counts as one that exceeded what was observed (Kaplan and Meier, 1958). Older observations count less and less.
*/
export class CensoredHistogram {
	private readonly counts: Readonly<Record<ObservationEnd, Float64Array>>;

	/**
	@param decay - factor by which an observation counts less after each further one
	*/
	constructor(private readonly buckets: LogBuckets, private readonly decay: number) {
		this.counts = {
			[ObservationEnd.Complete]: new Float64Array(buckets.count),
			[ObservationEnd.Bounded]: new Float64Array(buckets.count),
			[ObservationEnd.Lost]: new Float64Array(buckets.count),
		};
	}

	/** Records a value, or the part of it that was observed. */
	add(value: number, end: ObservationEnd): void {
		for (const counts of Object.values(this.counts)) {
			for (let index = 0; index < counts.length; index++) {
				counts[index] *= this.decay;
			}
		}

		this.counts[end][this.buckets.locate(value)]++;
	}

	/**
	Returns the distribution of the values.

	@param prior - distribution that is assumed without observations
	@param priorCount - number of observations that the prior counts as
	*/
	createCurve(prior: SurvivalCurve, priorCount: number): SurvivalCurve {
		const {[ObservationEnd.Complete]: complete, [ObservationEnd.Bounded]: bounded, [ObservationEnd.Lost]: lost} = this.counts;
		const ended = complete.map((count, index) => count + (priorCount * prior.getWeight(index)));
		return this.estimate(ended, bounded.map((count, index) => count + lost[index]));
	}

	/** Returns the probability that a value could be observed up to a bound, without being lost before. */
	computeObservability(bound: number): number {
		const {[ObservationEnd.Complete]: complete, [ObservationEnd.Bounded]: bounded, [ObservationEnd.Lost]: lost} = this.counts;
		return this.estimate(lost, complete.map((count, index) => count + bounded[index])).at(bound);
	}

	/** Estimates the distribution of what ends observations, where some of them end otherwise before. */
	private estimate(ended: Float64Array, endedOtherwise: Float64Array): SurvivalCurve {
		let atRisk = 0;
		for (const [index, count] of ended.entries()) {
			atRisk += count + endedOtherwise[index];
		}

		const atEdges = new Float64Array(ended.length);
		let probability = 1;
		for (const [index, count] of ended.entries()) {
			const observed = atRisk - (sameBucketShare * endedOtherwise[index]);
			probability *= count > 0 && observed > 0 ? Math.max(0, 1 - (count / observed)) : 1;
			atEdges[index] = probability;
			atRisk -= count + endedOtherwise[index];
		}

		return new SurvivalCurve(this.buckets, atEdges);
	}
}
