import {type BackendServer} from '../pipelines/backend-server.js';
import {computeMaxLayers, computeUsualRequestTokens, type EngineModel} from '../pipelines/engine-model.js';
import {getLayerCount, type LayerRange} from '../pipelines/layer-range.js';
import {computeLayersForCapacity, type Placement} from './initial-placement.js';
import {
	findRangesBelow, computeCapacityByLayer, computeServerCapacity, extendRange, type LayerAssignment,
} from './layer-capacity.js';

/** Layers with less than this part of the wanted room are weak; servers that hold nothing strengthen them. */
const weakShare = 0.9;
/** A server with less than this part of the wanted room gives up layers that others hold. */
const crampedShare = 0.7;
/** Requests for which a server must keep room when it takes on more layers. */
const leastRequests = 8;

/** Spare servers that a gap takes at most. */
const mostSpares = 3;

/** What a repair may do beside filling gaps. */
export type RepairOptions = {
	/** Tokens for which each layer shall have room. */
	readonly targetCapacity: number;
	/** Whether servers that hold nothing are put to use where nothing is missing. */
	readonly mayUseIdleServers: boolean;
};

type NeighbourSplit = {
	readonly moves: readonly Placement[];
	/** Tokens for which the more cramped of both keeps room. */
	readonly room: number;
};

class RepairPlanner {
	private readonly moves: Placement[] = [];
	private holdings: readonly LayerAssignment[];
	private readonly least: number;

	constructor(holdings: readonly LayerAssignment[], private readonly model: EngineModel, private readonly terms: RepairOptions) {
		this.holdings = holdings;
		this.least = computeUsualRequestTokens(model) * leastRequests;
	}

	plan(): readonly Placement[] {
		for (const gap of findRangesBelow(this.rooms(), 1)) {
			const isFilled = this.fillByEmpty(gap) || this.fillBySpares(gap) || this.fillByNeighbours(gap);
			if (!isFilled) {
				this.fillPartly(gap);
			}
		}

		if (this.terms.mayUseIdleServers) {
			this.strengthen();
		}

		this.relieve();
		return this.moves;
	}

	private rooms(without?: BackendServer): readonly number[] {
		return computeCapacityByLayer(this.holdings.filter(({server}) => server !== without), this.model);
	}

	private move(server: BackendServer, range: LayerRange): void {
		this.moves.push({server, range});
		this.holdings = this.holdings.map(holding => holding.server === server ? {server, range, isLoaded: false} : holding);
	}

	private sizeOf(server: BackendServer): number {
		return this.model.acceleratorTypes.get(server.card)?.megabytes ?? 0;
	}

	/** Servers that hold nothing, those with the most memory first. */
	private emptyServers(): readonly BackendServer[] {
		return this.holdings.filter(({range, server}) => !range && this.sizeOf(server) > 0)
			.map(({server}) => server)
			.toSorted((left, right) => this.sizeOf(right) - this.sizeOf(left));
	}

	/** A server that holds nothing takes the gap, and with the room that it has left weak layers beside it. */
	private fillByEmpty(gap: LayerRange): boolean {
		// The smallest server that is large enough, so that larger ones stay for larger gaps.
		const server = this.emptyServers().findLast(candidate => computeServerCapacity(candidate, gap, this.model) >= this.least);
		if (!server) {
			return false;
		}

		this.move(server, extendRange(gap, this.rooms(), this.fairLength(server)));
		return true;
	}

	private fairLength(server: BackendServer): number {
		return this.layersFor(server, this.terms.targetCapacity);
	}

	/** The servers before and after a gap take on its layers, so that both keep as much room as they can. */
	private fillByNeighbours(gap: LayerRange): boolean {
		const before = this.roomiest(({range}) => range?.to === gap.from);
		const after = this.roomiest(({range}) => range?.from === gap.to);
		let best: NeighbourSplit | undefined;
		for (let split = gap.from; split <= gap.to; split++) {
			const candidate = this.splitAt(split, gap, before, after);
			if (candidate.room >= this.least && candidate.room > (best?.room ?? 0)) {
				best = candidate;
			}
		}

		for (const {server, range} of best?.moves ?? []) {
			this.move(server, range);
		}

		return best !== undefined;
	}

	/** What becomes of both neighbours when the gap is split between them at a layer. */
	private splitAt(split: number, gap: LayerRange, before: LayerAssignment | undefined, after: LayerAssignment | undefined): NeighbourSplit {
		const moves: Placement[] = [];
		let room = Number.POSITIVE_INFINITY;
		if (split > gap.from) {
			const range = {from: before?.range?.from ?? gap.from, to: split};
			room = Math.min(room, this.roomWith(before, range));
			moves.push(...(before ? [{server: before.server, range}] : []));
		}

		if (split < gap.to) {
			const range = {from: split, to: after?.range?.to ?? gap.to};
			room = Math.min(room, this.roomWith(after, range));
			moves.push(...(after ? [{server: after.server, range}] : []));
		}

		return {moves, room};
	}

	private roomWith(holding: LayerAssignment | undefined, range: LayerRange): number {
		return holding ? computeServerCapacity(holding.server, range, this.model) : 0;
	}

	private roomiest(test: (holding: LayerAssignment) => boolean): LayerAssignment | undefined {
		let best: LayerAssignment | undefined;
		let most = 0;
		for (const holding of this.holdings) {
			const room = holding.range && test(holding) ? computeServerCapacity(holding.server, holding.range, this.model) : 0;
			if (room > most) {
				best = holding;
				most = room;
			}
		}

		return best;
	}

	/** Servers whose layers others hold too take the gap in place of their own layers, where few of them keep a fair room so. */
	private fillBySpares(gap: LayerRange): boolean {
		const {holdings} = this;
		const first = this.moves.length;
		let {from} = gap;
		while (from < gap.to && this.moves.length - first < mostSpares) {
			// The smallest first: the fast cards stay where they are.
			const spare = this.spareServers(this.terms.targetCapacity * crampedShare).at(-1);
			const length = spare ? Math.min(gap.to - from, this.layersFor(spare, this.terms.targetCapacity * crampedShare)) : 0;
			if (!spare || length <= 0) {
				break;
			}

			this.move(spare, {from, to: from + length});
			from += length;
		}

		if (from < gap.to) {
			this.holdings = holdings;
			this.moves.length = first;
			return false;
		}

		return true;
	}

	private layersFor(server: BackendServer, room: number): number {
		const card = this.model.acceleratorTypes.get(server.card);
		return card ? computeLayersForCapacity(this.model, card, room) : 0;
	}

	/** Servers without which each of their layers still has some room, those with the most memory first. */
	private spareServers(least: number): readonly BackendServer[] {
		const spares = this.holdings.filter(({server, range, isLoaded}) => {
			const others = range && isLoaded && this.rooms(server).slice(range.from, range.to);
			return others && others.every(room => room >= least);
		});
		return spares.map(({server}) => server).toSorted((left, right) => this.sizeOf(right) - this.sizeOf(left));
	}

	/** Where no server can take a gap alone, the largest free one takes its beginning; the rest follows. */
	private fillPartly(gap: LayerRange): void {
		let {from} = gap;
		while (from < gap.to) {
			const server = this.emptyServers().at(0) ?? this.spareServers(this.least).at(-1);
			const length = server ? Math.min(gap.to - from, this.layersFor(server, this.least)) : 0;
			if (!server || length <= 0) {
				return;
			}

			this.move(server, {from, to: from + length});
			from += length;
		}
	}

	/** Servers that hold nothing take the layers with the least room. */
	private strengthen(): void {
		for (const server of this.emptyServers()) {
			const rooms = this.rooms();
			const weakest = rooms.indexOf(Math.min(...rooms));
			const length = Math.min(this.fairLength(server), computeMaxLayers(this.model, this.model.acceleratorTypes.get(server.card)!));
			if (length > 0) {
				this.move(server, extendRange({from: weakest, to: weakest + 1}, rooms, length));
			}
		}
	}

	/** Servers with little room give up layers at the ends of their ranges that others have loaded. */
	private relieve(): void {
		for (const {server, range, isLoaded} of this.holdings) {
			if (range && isLoaded && computeServerCapacity(server, range, this.model) < this.terms.targetCapacity * crampedShare) {
				const kept = this.neededPart(server, range);
				if (getLayerCount(kept) > 0 && getLayerCount(kept) < getLayerCount(range)) {
					this.move(server, kept);
				}
			}
		}
	}

	private neededPart(server: BackendServer, range: LayerRange): LayerRange {
		const loaded = this.holdings.filter(holding => holding.isLoaded && holding.server !== server);
		const rooms = computeCapacityByLayer(loaded, this.model);
		const isHeld = (layer: number) => rooms[layer] >= this.terms.targetCapacity * weakShare;
		let {from, to} = range;
		while (from < to && isHeld(from)) {
			from++;
		}

		while (to > from && isHeld(to - 1)) {
			to--;
		}

		return {from, to};
	}
}

/**
Plans how a group of servers makes up for lost or added ones with few moves. A layer that nobody holds goes to a server that holds nothing, else to the servers beside it, else to one whose layers others hold too. Servers that hold nothing then take the layers with the least room, and servers with little room give up what others hold.

@param holdings - the servers that work and are not leaving
*/
export function planRepair(holdings: readonly LayerAssignment[], model: EngineModel, terms: RepairOptions): readonly Placement[] {
	return new RepairPlanner(holdings, model, terms).plan();
}
