import {type BackendServer} from '../pipelines/backend-server.js';
import {computeTokenCapacity, type EngineModel} from '../pipelines/engine-model.js';
import {getLayerCount, type LayerRange} from '../pipelines/layer-range.js';

/** A server with the layers that it holds or will hold. */
export type LayerAssignment = {
	readonly server: BackendServer;
	readonly range?: LayerRange;
	/** Whether the layers are loaded; false while an order for them is under way. */
	readonly isLoaded: boolean;
};

/** Tokens for which a server has room when it holds a range. */
export function computeServerCapacity(server: BackendServer, range: LayerRange, model: EngineModel): number {
	const card = model.acceleratorTypes.get(server.card);
	return card ? computeTokenCapacity(model, card, getLayerCount(range)) : 0;
}

/** Tokens for which there is room in each layer. */
export function computeCapacityByLayer(holdings: Iterable<LayerAssignment>, model: EngineModel): readonly number[] {
	const rooms = Array.from({length: model.layers}, () => 0);
	for (const {server, range} of holdings) {
		if (range) {
			const room = computeServerCapacity(server, range, model);
			for (let layer = range.from; layer < Math.min(range.to, model.layers); layer++) {
				rooms[layer] += room;
			}
		}
	}

	return rooms;
}

/** The runs of layers whose room is below a bound, the longest first. */
export function findRangesBelow(rooms: readonly number[], bound: number): readonly LayerRange[] {
	const gaps: LayerRange[] = [];
	let from = -1;
	for (let layer = 0; layer <= rooms.length; layer++) {
		const isShort = layer < rooms.length && rooms[layer] < bound;
		if (isShort && from === -1) {
			from = layer;
		} else if (!isShort && from !== -1) {
			gaps.push({from, to: layer});
			from = -1;
		}
	}

	return gaps.toSorted((left, right) => getLayerCount(right) - getLayerCount(left));
}

/** Extends a range by neighbouring layers, those with less room first, up to a length. */
export function extendRange(range: LayerRange, rooms: readonly number[], length: number): LayerRange {
	let {from, to} = range;
	while (to - from < length && (from > 0 || to < rooms.length)) {
		const before = from > 0 ? rooms[from - 1] : Number.POSITIVE_INFINITY;
		const after = to < rooms.length ? rooms[to] : Number.POSITIVE_INFINITY;
		if (before < after) {
			from--;
		} else {
			to++;
		}
	}

	return {from, to};
}
