import {computeMaxLayers, type AcceleratorType, type EngineModel} from '../pipelines/engine-model.js';
import {type LayerRange} from '../pipelines/layer-range.js';
import {computeUsefulCapacity} from './initial-placement.js';

/** Divisor of the smallest capacity of a layer that gives the scale on which the weight of a layer falls. With a larger one, layers with slightly more capacity than the scarcest one count less. */
const sharpness = 16;

/** Returns the sum of the weights of the layers, which fall exponentially with their capacity, relative to a given capacity. The scarcest layers decide, also where several ranges are scarce and one move raises only one of them. */
export function computeScarcity(capacities: readonly number[], least: number): number {
	const scale = Math.max(1, least) / sharpness;
	let weight = 0;
	for (const capacity of capacities) {
		weight += Math.exp((least - capacity) / scale);
	}

	return weight;
}

/**
Returns the range for a further server that gives the layers with the least capacity the most.

The range begins and ends at boundaries of other ranges, so that pipelines use all of it: a request takes memory for all layers of a server, also for those that it does not use.

@param capacities - token capacity of each layer without the server
@param ranges - the ranges of the other servers
@returns undefined if no range between boundaries fits into the memory of the server
*/
export function findStrengtheningRange(capacities: readonly number[], ranges: Iterable<LayerRange>, acceleratorType: AcceleratorType, model: EngineModel): LayerRange | undefined {
	const boundaries = [...new Set([...ranges].flatMap(({from, to}) => [from, to]))].toSorted((left, right) => left - right);
	const least = Math.min(...capacities);
	const scale = Math.max(1, least) / sharpness;
	const maxLayers = computeMaxLayers(model, acceleratorType);
	let best: LayerRange | undefined;
	let largest = 0;
	for (const from of boundaries) {
		for (const to of boundaries) {
			if (to <= from || to - from > maxLayers) {
				continue;
			}

			const gain = computeScarcity(capacities.slice(from, to), least) * (1 - Math.exp(-computeUsefulCapacity(model, acceleratorType, to - from) / scale));
			if (gain > largest) {
				largest = gain;
				best = {from, to};
			}
		}
	}

	return best;
}
