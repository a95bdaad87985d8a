import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';

const resolution = 2 ** 30;

/** Seeded random number generator, so that a run can be reproduced. */
export class RandomSource {
	private readonly generator: RandomGenerator;

	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed);
	}

	/** A random integer from 0 up to, but not including, a limit. */
	nextInteger(limit: number): number {
		return uniformInt(this.generator, 0, limit - 1);
	}

	/** A random number from 0 up to, but not including, 1. */
	nextFraction(): number {
		return this.nextInteger(resolution) / resolution;
	}

	/** A random element of a list, which must not be empty. */
	pick<Value>(values: readonly Value[]): Value {
		return values[this.nextInteger(values.length)];
	}
}
