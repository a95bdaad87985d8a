import {lifeOf, type BackendServer} from '../pipelines/backend-server.js';
import {mostLayers, tokenCapacity, tokensOfUsualRequest, type EngineModel} from '../pipelines/engine-model.js';
import {lengthOf, type LayerRange} from '../pipelines/layer-range.js';
import {type Placement} from './chain-plan.js';

/** Layers that have less room for requests than this part of the usual layer of the group are filled by moving servers. */
const lostShare = 0.35;
/** Servers that hold nothing strengthen layers below this part of the usual. */
const weakShare = 0.8;
/** Requests for which a server must keep room when it takes on more layers. */
const leastRequests = 8;

type Holding = {
	readonly server: BackendServer;
	readonly range: LayerRange | undefined;
};

function capacityOf(server: BackendServer, range: LayerRange, model: EngineModel): number {
	const card = model.cards.get(server.card);
	return card ? tokenCapacity(model, card, lengthOf(range)) : 0;
}

/** Tokens that fit into each layer. */
function capacityByLayer(holdings: readonly Holding[], model: EngineModel): readonly number[] {
	const capacities = Array.from({length: model.layers}, () => 0);
	for (const {server, range} of holdings) {
		if (range) {
			const capacity = capacityOf(server, range, model);
			for (let layer = range.from; layer < Math.min(range.to, model.layers); layer++) {
				capacities[layer] += capacity;
			}
		}
	}

	return capacities;
}

function medianOf(values: readonly number[]): number {
	return values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}

/** The runs of layers whose capacity is below a bound, the emptiest first. */
function gapsBelow(capacities: readonly number[], bound: number): readonly LayerRange[] {
	const gaps: LayerRange[] = [];
	let from = -1;
	for (let layer = 0; layer <= capacities.length; layer++) {
		const isShort = layer < capacities.length && capacities[layer] < bound;
		if (isShort && from === -1) {
			from = layer;
		} else if (!isShort && from !== -1) {
			gaps.push({from, to: layer});
			from = -1;
		}
	}

	return gaps.toSorted((left, right) => capacities[left.from] - capacities[right.from]);
}

/** Plans the smallest change of ranges that gives back what was lost. */
class RepairPlanner {
	private readonly moves: Placement[] = [];
	private holdings: Holding[];

	constructor(servers: readonly Holding[], private readonly model: EngineModel) {
		this.holdings = [...servers];
	}

	plan(mayStrengthen: boolean): readonly Placement[] {
		const usual = medianOf(capacityByLayer(this.holdings, this.model));
		const least = tokensOfUsualRequest(this.model) * leastRequests;
		for (const gap of gapsBelow(capacityByLayer(this.holdings, this.model), Math.max(1, usual * lostShare))) {
			if (!this.fillByEmpty(gap, least)) {
				this.fillByNeighbours(gap, least);
			}
		}

		if (mayStrengthen) {
			this.strengthen();
		}

		return this.moves;
	}

	private move(server: BackendServer, range: LayerRange): void {
		this.moves.push({server, range});
		this.holdings = this.holdings.map(holding => holding.server === server ? {server, range} : holding);
	}

	/** Servers that hold nothing, those with the most memory first. */
	private emptyServers(): readonly BackendServer[] {
		const sizeOf = (server: BackendServer) => this.model.cards.get(server.card)?.megabytes ?? 0;
		return this.holdings.filter(({range, server}) => !range && sizeOf(server) > 0).map(({server}) => server).toSorted((left, right) => sizeOf(right) - sizeOf(left));
	}

	private fillByEmpty(gap: LayerRange, least: number): boolean {
		// The smallest server that is large enough, so that larger ones stay for larger gaps.
		const server = this.emptyServers().findLast(candidate => capacityOf(candidate, gap, this.model) >= least);
		if (!server) {
			return false;
		}

		this.move(server, gap);
		return true;
	}

	/** Lets the servers before and after a gap take on its layers, so that both keep as much room as they can. */
	private fillByNeighbours(gap: LayerRange, least: number): boolean {
		const before = this.roomiest(holding => holding.range?.to === gap.from);
		const after = this.roomiest(holding => holding.range?.from === gap.to);
		let best: {split: number; room: number} | undefined;
		for (let split = gap.from; split <= gap.to; split++) {
			const room = Math.min(
				this.roomAfter(before, {from: before?.range?.from ?? gap.from, to: split}, split > gap.from),
				this.roomAfter(after, {from: split, to: after?.range?.to ?? gap.to}, split < gap.to),
			);
			if (room >= least && room > (best?.room ?? 0)) {
				best = {split, room};
			}
		}

		if (!best) {
			return false;
		}

		if (before?.range && best.split > gap.from) {
			this.move(before.server, {from: before.range.from, to: best.split});
		}

		if (after?.range && best.split < gap.to) {
			this.move(after.server, {from: best.split, to: after.range.to});
		}

		return true;
	}

	private roomAfter(holding: Holding | undefined, range: LayerRange, isUsed: boolean): number {
		if (!isUsed) {
			return Number.POSITIVE_INFINITY;
		}

		return holding ? capacityOf(holding.server, range, this.model) : 0;
	}

	private roomiest(test: (holding: Holding) => boolean): Holding | undefined {
		let best: Holding | undefined;
		let most = 0;
		for (const holding of this.holdings) {
			const room = holding.range && test(holding) ? capacityOf(holding.server, holding.range, this.model) : 0;
			if (room > most) {
				best = holding;
				most = room;
			}
		}

		return best;
	}

	/** Servers that hold nothing take the layers with the least room. */
	private strengthen(): void {
		for (const server of this.emptyServers()) {
			const range = this.weakestRange(server);
			if (range) {
				this.move(server, range);
			}
		}
	}

	private weakestRange(server: BackendServer): LayerRange | undefined {
		const capacities = capacityByLayer(this.holdings, this.model);
		const usual = medianOf(capacities);
		if (usual === 0) {
			return undefined;
		}

		const [gap] = gapsBelow(capacities, usual * weakShare);
		const weakest = gap ?? this.weakestHolding(capacities);
		return weakest && this.partThatFits(server, weakest, usual);
	}

	private weakestHolding(capacities: readonly number[]): LayerRange | undefined {
		const least = Math.min(...capacities);
		return this.holdings.find(({range}) => range && capacities.slice(range.from, range.to).includes(least))?.range;
	}

	/** As many layers from the start of the range as leave the server a fair room for requests. */
	private partThatFits(server: BackendServer, range: LayerRange, usual: number): LayerRange | undefined {
		const card = this.model.cards.get(server.card)!;
		for (let length = Math.min(lengthOf(range), mostLayers(this.model, card)); length > 0; length--) {
			if (tokenCapacity(this.model, card, length) >= usual * lostShare) {
				return {from: range.from, to: range.from + length};
			}
		}

		return undefined;
	}
}

/**
Plans how a group of servers makes up for lost or added ones: an empty server takes a gap, else its neighbours do; empty servers that are left strengthen the layers with the least room.

@param servers - the servers that work and are not leaving
@param pending - ranges that were ordered and not yet shown, by life
@param mayStrengthen - whether empty servers are put to use where nothing is missing
*/
export function planRepair(
	servers: readonly BackendServer[], pending: ReadonlyMap<string, LayerRange>, model: EngineModel, mayStrengthen: boolean,
): readonly Placement[] {
	const holdings = servers.map(server => ({server, range: pending.get(lifeOf(server)) ?? server.range}));
	return new RepairPlanner(holdings, model).plan(mayStrengthen);
}
