import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';

const resolution = 2 ** 30;

/** Random numbers from a seed, so that a run can be repeated. */
export class RandomSource {
	private readonly generator: RandomGenerator;

	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed);
	}

	/** A whole number from 0 up to, but not including, a limit. */
	nextInteger(limit: number): number {
		return uniformInt(this.generator, 0, limit - 1);
	}

	/** A number from 0 up to, but not including, 1. */
	nextFraction(): number {
		return this.nextInteger(resolution) / resolution;
	}

	/** An element of a list that is not empty. */
	pick<Value>(values: readonly Value[]): Value {
		return values[this.nextInteger(values.length)];
	}
}
