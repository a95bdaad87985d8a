import {type AcceleratorType} from '../pipelines/engine-model.js';
import {type Member} from './initial-placement.js';

/** The servers of one accelerator type that have no layers yet. */
export type Pool = {
	readonly acceleratorType: AcceleratorType;
	readonly members: Member[];
};

/**
Selects the servers of one chain: those with the least time for all layers, among the selections that waste few layers.

A dynamic program over the number of layers, in which each step adds some servers of one accelerator type.

@param counts - servers that are left, by pool
@param sizes - layers of a server, by pool
@returns the number of servers by pool; undefined if the pools do not suffice
*/
export function selectChain(pools: readonly Pool[], counts: readonly number[], sizes: readonly number[], {length, tolerance}: {length: number; tolerance: number}): readonly number[] | undefined {
	const limit = length + Math.max(...sizes);
	let times = new Float64Array(limit + 1).fill(Number.POSITIVE_INFINITY);
	times[0] = 0;
	const choices = pools.map(({acceleratorType: {pace}}, index) => {
		const size = sizes[index];
		const most = size > 0 ? counts[index] : 0;
		const chosen = new Int32Array(limit + 1);
		const extended = new Float64Array(times);
		const end = most > 0 ? length + size : 0;
		for (let reached = size; reached < end; reached++) {
			const largest = Math.min(most, Math.floor(reached / size));
			for (let count = 1; count <= largest; count++) {
				const time = times[reached - (count * size)] + (count * size * pace);
				if (time < extended[reached]) {
					extended[reached] = time;
					chosen[reached] = count;
				}
			}
		}

		times = extended;
		return chosen;
	});

	let least = length;
	while (least <= limit && times[least] === Number.POSITIVE_INFINITY) {
		least++;
	}

	if (least > limit) {
		return undefined;
	}

	let reached = least;
	for (let candidate = least + 1; candidate <= Math.min(limit, least + tolerance); candidate++) {
		reached = times[candidate] < times[reached] ? candidate : reached;
	}

	const selected = pools.map(() => 0);
	for (const [index, chosen] of [...choices.entries()].toReversed()) {
		selected[index] = chosen[reached];
		reached -= chosen[reached] * sizes[index];
	}

	return selected;
}
