import {type BackendServer} from '../pipelines/backend-server.js';
import {computeTokenCapacity, type EngineModel} from '../pipelines/engine-model.js';
import {getLayerCount, type LayerRange} from '../pipelines/layer-range.js';

/** A server and the layers that it has loaded or was ordered to load. */
export type LayerAssignment = {
	readonly server: BackendServer;
	readonly range?: LayerRange;
	/** Whether the layers are loaded; false while an order for them is in progress. */
	readonly isLoaded: boolean;
};

/** Returns the token capacity of a server that has a range loaded. */
export function computeServerCapacity(server: BackendServer, range: LayerRange, model: EngineModel): number {
	const acceleratorType = model.acceleratorTypes.get(server.card);
	return acceleratorType ? computeTokenCapacity(model, acceleratorType, getLayerCount(range)) : 0;
}

/**
Returns the token capacity of each layer, summed over the servers that have it.

@param maxCapacity - tokens of one server above which its capacity does not count, such as those that its slots can use
*/
export function computeCapacityByLayer(assignments: Iterable<Pick<LayerAssignment, 'server' | 'range'>>, model: EngineModel, maxCapacity = Number.POSITIVE_INFINITY): readonly number[] {
	const capacities = Array.from({length: model.layers}, () => 0);
	for (const {server, range} of assignments) {
		if (range) {
			const capacity = Math.min(maxCapacity, computeServerCapacity(server, range, model));
			for (let layer = range.from; layer < Math.min(range.to, model.layers); layer++) {
				capacities[layer] += capacity;
			}
		}
	}

	return capacities;
}

/** Returns the ranges of layers whose capacity is below a bound, longest first. */
export function findRangesBelow(capacities: readonly number[], bound: number): readonly LayerRange[] {
	const ranges: LayerRange[] = [];
	let from = -1;
	for (let layer = 0; layer <= capacities.length; layer++) {
		const isBelow = layer < capacities.length && capacities[layer] < bound;
		if (isBelow && from === -1) {
			from = layer;
		} else if (!isBelow && from !== -1) {
			ranges.push({from, to: layer});
			from = -1;
		}
	}

	return ranges.toSorted((left, right) => getLayerCount(right) - getLayerCount(left));
}

/** Extends a range by adjacent layers up to a length, adding the layer with less capacity first. */
export function extendRange(range: LayerRange, capacities: readonly number[], length: number): LayerRange {
	let {from, to} = range;
	while (to - from < length && (from > 0 || to < capacities.length)) {
		const before = from > 0 ? capacities[from - 1] : Number.POSITIVE_INFINITY;
		const after = to < capacities.length ? capacities[to] : Number.POSITIVE_INFINITY;
		if (before < after) {
			from--;
		} else {
			to++;
		}
	}

	return {from, to};
}
