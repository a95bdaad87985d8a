import {type BackendServer} from '../pipelines/backend-server.js';
import {mostLayers, tokenCapacity, tokenMegabytes, tokensOfUsualRequest, type Card, type EngineModel} from '../pipelines/engine-model.js';
import {type LayerRange} from '../pipelines/layer-range.js';

/** A server and the layers that it shall hold. */
export type Placement = {
	readonly server: BackendServer;
	readonly range: LayerRange;
};

type Member = {
	readonly server: BackendServer;
	readonly card: Card;
	layers: number;
};

/** Isolation of faults is worth this part of the requests that run at once. */
const isolationWorth = 0.2;
const mostChains = 8;
const searchSteps = 40;

function membersOf(servers: readonly BackendServer[], model: EngineModel): readonly Member[] {
	return servers.flatMap(server => {
		const card = model.cards.get(server.card);
		return card ? [{server, card, layers: 0}] : [];
	});
}

function layersFor(model: EngineModel, card: Card, tokens: number): number {
	return Math.min(mostLayers(model, card), card.megabytes / (model.layerMegabytes + (tokens * tokenMegabytes(model))));
}

/**
The tokens that fit into each stage when the servers share all layers so that none has room for fewer than another.

@returns 0 where the layers do not fit
*/
function balancedCapacity(members: readonly Member[], model: EngineModel): number {
	const fit = (tokens: number) => members.reduce((sum, {card}) => sum + layersFor(model, card, tokens), 0);
	if (fit(0) < model.layers) {
		return 0;
	}

	let low = 0;
	let high = 1;
	while (fit(high) >= model.layers) {
		high *= 2;
	}

	for (let step = 0; step < searchSteps; step++) {
		const middle = (low + high) / 2;
		if (fit(middle) >= model.layers) {
			low = middle;
		} else {
			high = middle;
		}
	}

	return low;
}

/** Rounds the layers of each member so that they add up to all; undefined where the weights do not fit. */
function roundLayers(members: readonly Member[], model: EngineModel): boolean {
	const tokens = balancedCapacity(members, model);
	let missing = model.layers;
	for (const member of members) {
		member.layers = Math.floor(layersFor(model, member.card, tokens));
		missing -= member.layers;
	}

	for (; missing > 0; missing--) {
		let best: Member | undefined;
		let most = 0;
		for (const member of members) {
			const capacity = member.layers < mostLayers(model, member.card) ? tokenCapacity(model, member.card, member.layers + 1) : 0;
			if (capacity > most) {
				best = member;
				most = capacity;
			}
		}

		if (!best) {
			return false;
		}

		best.layers++;
	}

	return true;
}

function splitIntoChains(members: readonly Member[], count: number): readonly Member[][] {
	const chains = Array.from({length: count}, (): Member[] => []);
	const sizes = chains.map(() => 0);
	for (const member of members.toSorted((left, right) => (right.card.megabytes - left.card.megabytes) || (left.server.id < right.server.id ? -1 : 1))) {
		const smallest = sizes.indexOf(Math.min(...sizes));
		chains[smallest].push(member);
		sizes[smallest] += member.card.megabytes;
	}

	return chains;
}

/** Requests that chains of these servers run at once: bounded by memory in all stages and by places in the first. */
function requestsAtOnce(chains: readonly Member[][], model: EngineModel): number {
	let sum = 0;
	for (const chain of chains) {
		const memory = balancedCapacity(chain, model) / tokensOfUsualRequest(model);
		if (memory < 1) {
			return 0;
		}

		sum += Math.min(model.slots, memory);
	}

	return sum;
}

/** The number of chains that runs the most requests at once; more chains where that costs little, since a lost server then takes less with it. */
function bestChains(members: readonly Member[], model: EngineModel): readonly Member[][] {
	let best: readonly Member[][] = [];
	let most = 0;
	for (let count = 1; count <= Math.min(mostChains, members.length); count++) {
		const chains = splitIntoChains(members, count);
		const requests = requestsAtOnce(chains, model);
		if (requests > most * (1 - isolationWorth)) {
			best = chains;
		}

		most = Math.max(most, requests);
	}

	return best;
}

/**
Places all layers on servers that hold none, as one or more chains of the servers of one group.

Within a chain each server gets as many layers as leave every stage room for the same number of tokens, since a request holds memory in each stage that it crosses.

@param servers - the servers of one availability zone, or of several that are served together
@returns nothing where their memory does not hold the model
*/
export function planChains(servers: readonly BackendServer[], model: EngineModel): readonly Placement[] {
	const placements: Placement[] = [];
	for (const chain of bestChains(membersOf(servers, model), model)) {
		if (!roundLayers(chain, model)) {
			return [];
		}

		let from = 0;
		for (const {server, layers} of chain) {
			if (layers > 0) {
				placements.push({server, range: {from, to: from + layers}});
				from += layers;
			}
		}
	}

	return placements;
}
