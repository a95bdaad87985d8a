import {type BackendServer} from '../pipelines/backend-server.js';
import {
	computeMaxLayers, computeTokenMegabytes, computeUsualRequestTokens, type AcceleratorType, type EngineModel,
} from '../pipelines/engine-model.js';
import {getLayerCount, type LayerRange} from '../pipelines/layer-range.js';

/** A server and the layers that it shall hold. */
export type Placement = {
	readonly server: BackendServer;
	readonly range: LayerRange;
};

type Member = {
	readonly server: BackendServer;
	readonly card: AcceleratorType;
};

const searchSteps = 40;

/** The servers with a known card, the fastest first. */
function membersOf(servers: readonly BackendServer[], model: EngineModel): readonly Member[] {
	const members = servers.flatMap(server => {
		const card = model.acceleratorTypes.get(server.card);
		return card ? [{server, card}] : [];
	});
	return members.toSorted((left, right) => (left.card.pace - right.card.pace) || (left.server.id < right.server.id ? -1 : 1));
}

/** Layers that leave a card room for a number of tokens. */
export function computeLayersForCapacity(model: EngineModel, card: AcceleratorType, tokens: number): number {
	return Math.min(computeMaxLayers(model, card), Math.floor(card.megabytes / (model.layerMegabytes + (tokens * computeTokenMegabytes(model)))));
}

/**
Tokens for which each stage of a chain shall have room.

@param share - part of a server's places that shall fit into memory
*/
export function computeTargetCapacity(model: EngineModel, share: number): number {
	return model.slots * share * computeUsualRequestTokens(model);
}

/** Room for all places of a server, beyond which more memory is of no use. */
function mostRoom(model: EngineModel): number {
	return computeTargetCapacity(model, 1);
}

/** The most room, up to the wanted one, with which the members hold all layers; undefined where their weights do not fit. */
function roomOf(members: readonly Member[], model: EngineModel, wanted: number): number | undefined {
	const doFit = (tokens: number) => members.reduce((sum, {card}) => sum + computeLayersForCapacity(model, card, tokens), 0) >= model.layers;
	if (!doFit(0)) {
		return undefined;
	}

	let low = 0;
	let high = wanted;
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

/** Deals consecutive layers to members in order, as many to each as leave the room; stops when layers or members run out. */
function deal(members: Member[], range: LayerRange, model: EngineModel, room: number): readonly Placement[] {
	const placements: Placement[] = [];
	let {from} = range;
	while (from < range.to) {
		const member = members.shift();
		if (!member) {
			break;
		}

		const layers = Math.min(range.to - from, computeLayersForCapacity(model, member.card, room));
		if (layers > 0) {
			placements.push({server: member.server, range: {from, to: from + layers}});
			from += layers;
		}
	}

	return placements;
}

/** Places all layers on the first members that hold them with the room, dealt so that each of these keeps as much room as the others. */
function planChain(members: Member[], model: EngineModel, room: number): readonly Placement[] {
	let layers = 0;
	const count = 1 + members.findIndex(({card}) => {
		layers += computeLayersForCapacity(model, card, room);
		return layers >= model.layers;
	});
	const used = members.splice(0, count);
	return deal(used, {from: 0, to: model.layers}, model, roomOf(used, model, mostRoom(model)) ?? room);
}

/** Places the remaining members as further copies, of the longest ranges first, since losing those loses most. */
function placeSpares(members: Member[], chain: readonly Placement[], model: EngineModel, room: number): readonly Placement[] {
	const spares: Placement[] = [];
	while (members.length > 0) {
		const before = members.length;
		for (const {range} of chain.toSorted((left, right) => getLayerCount(right.range) - getLayerCount(left.range))) {
			spares.push(...deal(members, range, model, room));
		}

		if (members.length === before) {
			break;
		}
	}

	return spares;
}

/**
Places all layers on servers that hold none: a chain on the fastest of them, then further copies on the others.

Each server gets as many layers as leave room for the wanted tokens, since a request holds memory in each stage that it crosses; few layers a server would make the chain long, many would leave it no room. Fast cards first make streams short, so that fewer run at once.

@param servers - the servers of one availability zone, or of several that are served together
@param wanted - tokens for which each stage shall have room
@returns nothing where their memory does not hold the model
*/
export function planInitialPlacement(servers: readonly BackendServer[], model: EngineModel, wanted: number): readonly Placement[] {
	const members = [...membersOf(servers, model)];
	const room = roomOf(members, model, wanted);
	if (room === undefined) {
		return [];
	}

	const chain = planChain(members, model, room);
	return [...chain, ...placeSpares(members, chain, model, room)];
}
