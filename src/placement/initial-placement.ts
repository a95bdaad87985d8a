import {type BackendServer} from '../pipelines/backend-server.js';
import {
	computeMaxLayers, computeTokenCapacity, computeTokenMegabytes, computeUsualRequestTokens, type AcceleratorType, type EngineModel,
} from '../pipelines/engine-model.js';
import {getLayerCount, type LayerRange} from '../pipelines/layer-range.js';

/** A server and the layers that it should load. */
export type Placement = {
	readonly server: BackendServer;
	readonly range: LayerRange;
};

export type Member = {
	readonly server: BackendServer;
	readonly acceleratorType: AcceleratorType;
};

/** Steps of the binary search for a capacity. */
const searchSteps = 40;

/** Returns the servers with a known accelerator type, fastest first. */
export function findMembers(servers: readonly BackendServer[], model: EngineModel): readonly Member[] {
	const members = servers.flatMap(server => {
		const acceleratorType = model.acceleratorTypes.get(server.card);
		return acceleratorType ? [{server, acceleratorType}] : [];
	});
	return members.toSorted((left, right) => (left.acceleratorType.pace - right.acceleratorType.pace) || (left.server.id < right.server.id ? -1 : 1));
}

/** Returns the largest number of layers that leave an accelerator the given token capacity. */
export function computeLayersForCapacity(model: EngineModel, acceleratorType: AcceleratorType, tokens: number): number {
	return Math.min(computeMaxLayers(model, acceleratorType), Math.floor(acceleratorType.megabytes / (model.layerMegabytes + (tokens * computeTokenMegabytes(model)))));
}

/**
Returns the token capacity that each stage should have.

@param slotShare - fraction of a server's slots whose requests should fit into its memory
*/
export function computeTargetCapacity(model: EngineModel, slotShare: number): number {
	return model.slots * slotShare * computeUsualRequestTokens(model);
}

/** Returns the token capacity for all slots of a server; more memory than that is of no use. */
export function computeMaxCapacity(model: EngineModel): number {
	return computeTargetCapacity(model, 1);
}

/** Returns the token capacity of an accelerator that its slots can use. */
export function computeUsefulCapacity(model: EngineModel, acceleratorType: AcceleratorType, layers: number): number {
	return Math.min(computeTokenCapacity(model, acceleratorType, layers), computeMaxCapacity(model));
}

/** Returns the largest token capacity, up to a target, that members can keep while they hold a number of layers; undefined if the weights do not fit. */
export function findAchievableCapacity(members: readonly Member[], model: EngineModel, target: number, layers = model.layers): number | undefined {
	const doFit = (tokens: number) => members.reduce((sum, {acceleratorType}) => sum + computeLayersForCapacity(model, acceleratorType, tokens), 0) >= layers;
	if (!doFit(0)) {
		return undefined;
	}

	let low = 0;
	let high = target;
	if (doFit(high)) {
		return high;
	}

	for (let step = 0; step < searchSteps; step++) {
		const middle = (low + high) / 2;
		if (doFit(middle)) {
			low = middle;
		} else {
			high = middle;
		}
	}

	return low;
}

/** Assigns consecutive layers to members in order, to each as many as leave it the capacity. Removes the used members; stops when layers or members run out. */
export function assignLayers(members: Member[], range: LayerRange, model: EngineModel, capacity: number): readonly Placement[] {
	const placements: Placement[] = [];
	let {from} = range;
	while (from < range.to) {
		const member = members.shift();
		if (!member) {
			break;
		}

		const layers = Math.min(range.to - from, computeLayersForCapacity(model, member.acceleratorType, capacity));
		if (layers > 0) {
			placements.push({server: member.server, range: {from, to: from + layers}});
			from += layers;
		}
	}

	return placements;
}

/** Places all layers on the first members that hold them with the capacity, distributed so that each keeps the same capacity. Removes these members. */
function planChain(members: Member[], model: EngineModel, capacity: number): readonly Placement[] {
	let layers = 0;
	const count = 1 + members.findIndex(({acceleratorType}) => {
		layers += computeLayersForCapacity(model, acceleratorType, capacity);
		return layers >= model.layers;
	});
	const used = members.splice(0, count);
	return assignLayers(used, {from: 0, to: model.layers}, model, findAchievableCapacity(used, model, computeMaxCapacity(model)) ?? capacity);
}

/** Places further copies on the remaining members, starting with the longest ranges, since their loss costs the most layers. */
function placeRedundantServers(members: Member[], chain: readonly Placement[], model: EngineModel, capacity: number): readonly Placement[] {
	const placements: Placement[] = [];
	while (members.length > 0) {
		const before = members.length;
		for (const {range} of chain.toSorted((left, right) => getLayerCount(right.range) - getLayerCount(left.range))) {
			placements.push(...assignLayers(members, range, model, capacity));
		}

		if (members.length === before) {
			break;
		}
	}

	return placements;
}

/**
Places all layers on servers that have none: a complete chain on the fastest of them, then further copies on the others.

Each server gets as many layers as leave it the target capacity, since a request holds memory in each stage of its pipeline: fewer layers per server would make the chain longer, more would leave too little memory for requests. The fastest accelerators come first because shorter streams mean fewer concurrent ones.

@param servers - the servers of one availability zone, or of several zones that are placed together
@param target - token capacity that each stage should have
@returns an empty array if the memory of the servers cannot hold the model
*/
export function planInitialPlacement(servers: readonly BackendServer[], model: EngineModel, target: number): readonly Placement[] {
	const members = [...findMembers(servers, model)];
	const capacity = findAchievableCapacity(members, model, target);
	if (capacity === undefined) {
		return [];
	}

	const chain = planChain(members, model, capacity);
	return [...chain, ...placeRedundantServers(members, chain, model, capacity)];
}
