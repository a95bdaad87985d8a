import {type BackendServer} from '../pipelines/backend-server.js';
import {computeUsualRequestTokens, type EngineModel} from '../pipelines/engine-model.js';
import {getLayerCount, type LayerRange} from '../pipelines/layer-range.js';
import {computeLayersForCapacity, computeMaxCapacity, type Placement} from './initial-placement.js';
import {
	findRangesBelow, computeCapacityByLayer, computeServerCapacity, extendRange, type LayerAssignment,
} from './layer-capacity.js';
import {findStrengtheningRange} from './strengthening-range.js';

/** Layers with at least this fraction of the target capacity and of the mean of all layers on other servers may be dropped by a server that is short of memory. */
const sufficientShare = 0.9;
/** A server with less than this fraction of the target capacity drops layers that other servers have. */
const overloadedShare = 0.7;
/** Number of typical requests for which a server must keep capacity when it takes on more layers. */
const minRequests = 8;

/** Largest number of redundant servers that are moved to one gap. */
const maxMovedServers = 3;

/** What a repair aims for besides filling gaps, that is, ranges of layers that no server has. */
export type RepairOptions = {
	/** Token capacity that each layer should have. */
	readonly targetCapacity: number;
	/** Whether servers without layers add capacity where no layer is missing. */
	readonly mayUseIdleServers: boolean;
};

type NeighbourSplit = {
	readonly moves: readonly Placement[];
	/** Token capacity of the server that keeps less. */
	readonly capacity: number;
};

class RepairPlanner {
	private readonly moves: Placement[] = [];
	private assignments: readonly LayerAssignment[];
	private readonly minCapacity: number;

	constructor(assignments: readonly LayerAssignment[], private readonly model: EngineModel, private readonly options: RepairOptions) {
		this.assignments = assignments;
		this.minCapacity = computeUsualRequestTokens(model) * minRequests;
	}

	plan(): readonly Placement[] {
		for (const gap of findRangesBelow(this.getCapacities(), 1)) {
			const isFilled = this.fillByIdleServer(gap) || this.fillByRedundantServers(gap) || this.fillByNeighbours(gap);
			if (!isFilled) {
				this.fillInParts(gap);
			}
		}

		if (this.options.mayUseIdleServers) {
			this.useIdleServers();
		}

		this.relieveOverloadedServers();
		return this.moves;
	}

	/** Returns the token capacity of each layer, optionally without one server. */
	private getCapacities(without?: BackendServer): readonly number[] {
		return computeCapacityByLayer(this.assignments.filter(({server}) => server !== without), this.model, computeMaxCapacity(this.model));
	}

	private move(server: BackendServer, range: LayerRange): void {
		this.moves.push({server, range});
		this.assignments = this.assignments.map(assignment => assignment.server === server ? {server, range, isLoaded: false} : assignment);
	}

	private getMemory(server: BackendServer): number {
		return this.model.acceleratorTypes.get(server.card)?.megabytes ?? 0;
	}

	/** Returns the servers without layers, those with the most memory first. */
	private findIdleServers(): readonly BackendServer[] {
		return this.assignments.filter(({range, server}) => !range && this.getMemory(server) > 0)
			.map(({server}) => server)
			.toSorted((left, right) => this.getMemory(right) - this.getMemory(left));
	}

	/** Assigns the gap to a server without layers, which also takes adjacent layers while it keeps the target capacity. */
	private fillByIdleServer(gap: LayerRange): boolean {
		// The smallest server that is large enough, so that larger ones stay available for larger gaps.
		const server = this.findIdleServers().findLast(candidate => computeServerCapacity(candidate, gap, this.model) >= this.minCapacity);
		if (!server) {
			return false;
		}

		this.move(server, extendRange(gap, this.getCapacities(), this.computeTargetLayers(server)));
		return true;
	}

	private computeTargetLayers(server: BackendServer): number {
		return this.computeLayers(server, this.options.targetCapacity);
	}

	/** Extends the servers before and after a gap over its layers, split so that the smaller capacity of the two is as large as possible. */
	private fillByNeighbours(gap: LayerRange): boolean {
		const before = this.findLargest(({range}) => range?.to === gap.from);
		const after = this.findLargest(({range}) => range?.from === gap.to);
		let best: NeighbourSplit | undefined;
		for (let boundary = gap.from; boundary <= gap.to; boundary++) {
			const candidate = this.splitAt(boundary, gap, before, after);
			if (candidate.capacity >= this.minCapacity && candidate.capacity > (best?.capacity ?? 0)) {
				best = candidate;
			}
		}

		for (const {server, range} of best?.moves ?? []) {
			this.move(server, range);
		}

		return best !== undefined;
	}

	/** Computes the moves of both neighbours and the capacity left if the gap is split between them at a layer. */
	private splitAt(boundary: number, gap: LayerRange, before: LayerAssignment | undefined, after: LayerAssignment | undefined): NeighbourSplit {
		const moves: Placement[] = [];
		let capacity = Number.POSITIVE_INFINITY;
		if (boundary > gap.from) {
			const range = {from: before?.range?.from ?? gap.from, to: boundary};
			capacity = Math.min(capacity, this.computeCapacity(before, range));
			moves.push(...(before ? [{server: before.server, range}] : []));
		}

		if (boundary < gap.to) {
			const range = {from: boundary, to: after?.range?.to ?? gap.to};
			capacity = Math.min(capacity, this.computeCapacity(after, range));
			moves.push(...(after ? [{server: after.server, range}] : []));
		}

		return {moves, capacity};
	}

	private computeCapacity(assignment: LayerAssignment | undefined, range: LayerRange): number {
		return assignment ? computeServerCapacity(assignment.server, range, this.model) : 0;
	}

	/** Returns the matching assignment with the largest token capacity; undefined if none has any. */
	private findLargest(matches: (assignment: LayerAssignment) => boolean): LayerAssignment | undefined {
		let best: LayerAssignment | undefined;
		let largest = 0;
		for (const assignment of this.assignments) {
			const capacity = assignment.range && matches(assignment) ? computeServerCapacity(assignment.server, assignment.range, this.model) : 0;
			if (capacity > largest) {
				best = assignment;
				largest = capacity;
			}
		}

		return best;
	}

	/** Moves redundant servers from their own layers to the gap, if a few of them can fill it with an acceptable capacity. */
	private fillByRedundantServers(gap: LayerRange): boolean {
		const {assignments} = this;
		const first = this.moves.length;
		let {from} = gap;
		while (from < gap.to && this.moves.length - first < maxMovedServers) {
			// The smallest server first, so that the fast accelerators keep their layers.
			const server = this.findRedundantServers(this.options.targetCapacity * overloadedShare).at(-1);
			const length = server ? Math.min(gap.to - from, this.computeLayers(server, this.options.targetCapacity * overloadedShare)) : 0;
			if (!server || length <= 0) {
				break;
			}

			this.move(server, {from, to: from + length});
			from += length;
		}

		if (from < gap.to) {
			this.assignments = assignments;
			this.moves.length = first;
			return false;
		}

		return true;
	}

	/** Returns the largest number of layers that leave a server the given token capacity. */
	private computeLayers(server: BackendServer, capacity: number): number {
		const acceleratorType = this.model.acceleratorTypes.get(server.card);
		return acceleratorType ? computeLayersForCapacity(this.model, acceleratorType, capacity) : 0;
	}

	/** Returns the servers without which each of their layers still has a minimum capacity, those with the most memory first. */
	private findRedundantServers(minCapacity: number): readonly BackendServer[] {
		const redundant = this.assignments.filter(({server, range, isLoaded}) => {
			const others = range && isLoaded && this.getCapacities(server).slice(range.from, range.to);
			return others && others.every(capacity => capacity >= minCapacity);
		});
		return redundant.map(({server}) => server).toSorted((left, right) => this.getMemory(right) - this.getMemory(left));
	}

	/** Fills a gap that no server can take alone by several free servers in turn, from its beginning as far as they suffice. */
	private fillInParts(gap: LayerRange): void {
		let {from} = gap;
		while (from < gap.to) {
			const server = this.findIdleServers().at(0) ?? this.findRedundantServers(this.minCapacity).at(-1);
			const length = server ? Math.min(gap.to - from, this.computeLayers(server, this.minCapacity)) : 0;
			if (!server || length <= 0) {
				return;
			}

			this.move(server, {from, to: from + length});
			from += length;
		}
	}

	/** Assigns the layers with the least capacity to servers without layers, along the boundaries of the other ranges where possible. */
	private useIdleServers(): void {
		for (const server of this.findIdleServers()) {
			const capacities = this.getCapacities();
			const ranges = this.assignments.flatMap(({range}) => range ? [range] : []);
			const aligned = findStrengtheningRange(capacities, ranges, this.model.acceleratorTypes.get(server.card)!, this.model);
			const range = aligned ?? this.extendWeakest(server, capacities);
			if (range) {
				this.move(server, range);
			}
		}
	}

	private extendWeakest(server: BackendServer, capacities: readonly number[]): LayerRange | undefined {
		const weakest = capacities.indexOf(Math.min(...capacities));
		const length = this.computeTargetLayers(server);
		return length > 0 ? extendRange({from: weakest, to: weakest + 1}, capacities, length) : undefined;
	}

	/** Drops layers at the ends of ranges of servers with little capacity, where other servers have loaded these layers. */
	private relieveOverloadedServers(): void {
		for (const {server, range, isLoaded} of this.assignments) {
			if (range && isLoaded && computeServerCapacity(server, range, this.model) < this.options.targetCapacity * overloadedShare) {
				const needed = this.findNeededPart(server, range);
				if (getLayerCount(needed) > 0 && getLayerCount(needed) < getLayerCount(range)) {
					this.move(server, needed);
				}
			}
		}
	}

	/** Returns the part of a range between the first and the last layer for which other servers lack capacity, or have less than the scarcest layer. */
	private findNeededPart(server: BackendServer, range: LayerRange): LayerRange {
		const loaded = this.assignments.filter(assignment => assignment.isLoaded && assignment.server !== server);
		const capacities = computeCapacityByLayer(loaded, this.model, computeMaxCapacity(this.model));
		const all = this.getCapacities();
		// The mean stands for the plan while a lost server makes other layers the scarcest.
		const mean = all.reduce((sum, capacity) => sum + capacity, 0) / all.length;
		const sufficient = Math.max(Math.max(this.options.targetCapacity, mean) * sufficientShare, Math.min(...all));
		const isSufficient = (layer: number) => capacities[layer] >= sufficient;
		let {from, to} = range;
		while (from < to && isSufficient(from)) {
			from++;
		}

		while (to > from && isSufficient(to - 1)) {
			to--;
		}

		return {from, to};
	}
}

/**
Plans how a group of servers compensates for lost or added servers with few moves.

A layer that no server has goes to a server without layers; failing that, to redundant servers, whose layers others have too, and then to the servers with the adjacent layers. A gap that no one of these can fill is filled in parts. Afterwards, servers without layers take the layers with the least capacity, and servers with little capacity drop layers that others have.

@param assignments - the servers that work and are not leaving
*/
export function planRepair(assignments: readonly LayerAssignment[], model: EngineModel, options: RepairOptions): readonly Placement[] {
	return new RepairPlanner(assignments, model, options).plan();
}
