import {type RandomSource} from '../routing/random-source.js';

/** What the return of a refused caller depends on. Durations in milliseconds. */
export type RefusedCaller = {
	/** Predicted time until there is capacity for its request; undefined if it is not known. */
	readonly wait: number | undefined;
	/** Number of more urgent priorities in use. */
	readonly rank: number;
	/** Time left until the deadline of its request. */
	readonly remaining: number;
};

/** Fraction of the usual time that is the least time. */
const minFraction = 1 / 5;
/** Fraction of the remaining time that is the longest time, so that the caller can come back more than once. */
const maxRemainingFraction = 1 / 3;
/** Fraction of the time over which the callers of one priority are spread. */
const spreadFraction = 0.5;
/** Multiple of the usual time at which a prediction is cut off, since it is uncertain. */
const maxMultiple = 4;

/** Decides when refused callers are to come back: when there is capacity, not all at once, and the urgent ones first. */
export class ReturnTimes {
	/**
	@param usual - milliseconds where nothing is predicted
	*/
	constructor(private readonly usual: number, private readonly random: Pick<RandomSource, 'nextFraction'>) {}

	/** Returns the milliseconds after which a refused caller may come back. */
	compute({wait = this.usual, rank, remaining}: RefusedCaller): number {
		const base = Math.min(this.usual * maxMultiple, Math.max(this.usual * minFraction, wait));
		const spread = base * (1 + ((rank + this.random.nextFraction()) * spreadFraction));
		return Math.round(Math.max(0, Math.min(spread, remaining * maxRemainingFraction)));
	}
}
