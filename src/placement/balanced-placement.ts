import {type BackendServer} from '../pipelines/backend-server.js';
import {
	computeMaxLayers, computeUsualRequestTokens, type AcceleratorType, type EngineModel,
} from '../pipelines/engine-model.js';
import {type LayerRange} from '../pipelines/layer-range.js';
import {selectChain, type Pool} from './chain-selection.js';
import {
	assignLayers, computeLayersForCapacity, computeMaxCapacity, computeUsefulCapacity, findAchievableCapacity, findMembers, type Member, type Placement,
} from './initial-placement.js';
import {computeCapacityByLayer} from './layer-capacity.js';
import {findStrengtheningRange} from './strengthening-range.js';

/** Numbers of copies tried above the smallest number that could use the memory. More copies make chains with longer ranges and less capacity each. */
const extraCopies = 2;
/** Layers that a chain may waste, compared with the chain that wastes least, for the sake of speed. Each is tried. */
const tolerances: readonly number[] = [0, 3, 16];
/** Number of usual requests for which each server keeps capacity at least. */
const minRequests = 8;
/** Fraction of the best division's capacity below which a division is not considered. */
const minShare = 0.9;
/** Number of divisions that are tried again with a larger tolerance. */
const maxDivisions = 40;
/** Number of plans that are returned for each tolerance. */
const maxPlans = 8;
/** Smallest length of a section in layers. */
const minSection = 8;
/** Steps of the binary search for the capacity of a division. */
const searchSteps = 5;

/** Consecutive layers that several chains of servers hold completely. */
type Section = {
	readonly range: LayerRange;
	/** Number of chains. */
	readonly copies: number;
};

/** A chain of servers that hold the layers of a section one after the other. */
type Chain = {
	readonly range: LayerRange;
	readonly members: readonly Member[];
};

/** Chains for all sections, each with the same share of a token capacity. */
type Division = {
	readonly sections: readonly Section[];
	readonly chains: readonly Chain[];
	readonly capacity: number;
};

/** Returns the token capacity of each layer if every server contributed as much as it can and all layers got the same. No plan has more at its scarcest layer. */
export function computeCapacityBound(servers: readonly BackendServer[], model: EngineModel): number {
	const largest = new Map<AcceleratorType, number>();
	for (const acceleratorType of model.acceleratorTypes.values()) {
		const contributions = Array.from({length: computeMaxLayers(model, acceleratorType)}, (_, index) => (index + 1) * computeUsefulCapacity(model, acceleratorType, index + 1));
		largest.set(acceleratorType, Math.max(0, ...contributions));
	}

	return findMembers(servers, model).reduce((sum, {acceleratorType}) => sum + largest.get(acceleratorType)!, 0) / model.layers;
}

function createPools(members: readonly Member[]): readonly Pool[] {
	const pools = new Map<AcceleratorType, Pool>();
	for (const member of members) {
		const pool = pools.get(member.acceleratorType) ?? {acceleratorType: member.acceleratorType, members: []};
		pool.members.push(member);
		pools.set(member.acceleratorType, pool);
	}

	return [...pools.values()];
}

/** Whether the servers would suffice for all sections if they could be divided; those that lose least in the first section go there. Sections have at most two numbers of copies, the larger first. */
function mightSuffice(counts: readonly number[], sizes: ReadonlyArray<readonly number[]>, sections: readonly Section[]): boolean {
	const needs = [0, 0];
	for (const {range, copies} of sections) {
		needs[copies === sections[0].copies ? 0 : 1] += (range.to - range.from) * copies;
	}

	const order = [...counts.keys()].toSorted((left, right) => (sizes[0][right] / sizes.at(-1)![right]) - (sizes[0][left] / sizes.at(-1)![left]));
	let section = 0;
	for (const index of order) {
		let left = counts[index];
		while (section < needs.length && left > 1e-9 && sizes[section === 0 ? 0 : sizes.length - 1][index] > 0) {
			const used = Math.min(left, needs[section] / sizes[section === 0 ? 0 : sizes.length - 1][index]);
			needs[section] -= used * sizes[section === 0 ? 0 : sizes.length - 1][index];
			left -= used;
			section += needs[section] > 1e-9 ? 0 : 1;
		}
	}

	return needs.every(need => need <= 1e-9);
}

class BalancedPlanner {
	private readonly pools: readonly Pool[];
	private readonly maxCapacity: number;
	private readonly minCapacity: number;

	constructor(private readonly servers: readonly BackendServer[], private readonly model: EngineModel) {
		this.pools = createPools(findMembers(servers, model));
		this.maxCapacity = computeMaxCapacity(model);
		this.minCapacity = computeUsualRequestTokens(model) * minRequests;
	}

	/** Returns the plans with the most capacity for each tolerance. */
	plan(): ReadonlyArray<readonly Placement[]> {
		let sections = this.listDivisions();
		return tolerances.flatMap(tolerance => {
			const found = this.findDivisions(sections, tolerance);
			sections = found.slice(0, maxDivisions).map(division => division.sections);
			return found.slice(0, maxPlans).map(({chains}) => this.placeServers(chains));
		});
	}

	/** Returns chains for the divisions that have nearly as much capacity as the best one, those with the most capacity first. */
	private findDivisions(divisions: ReadonlyArray<readonly Section[]>, tolerance: number): readonly Division[] {
		const found: Division[] = [];
		let most = 0;
		for (const sections of divisions) {
			const division = this.findCapacity(sections, tolerance, most * minShare);
			if (division) {
				found.push(division);
				most = Math.max(most, division.capacity);
			}
		}

		return found.toSorted((left, right) => right.capacity - left.capacity);
	}

	/** Finds the largest token capacity that chains of a division can have; undefined if it is below a bound. */
	private findCapacity(sections: readonly Section[], tolerance: number, bound: number): Division | undefined {
		const copies = sections.map(section => section.copies);
		let low = Math.max(bound, this.minCapacity * Math.max(...copies));
		let chains = this.findChains(sections, tolerance, low);
		if (!chains) {
			return undefined;
		}

		let high = this.maxCapacity * Math.min(...copies);
		for (let step = 0; step < searchSteps; step++) {
			const middle = step === 0 ? high : (low + high) / 2;
			const better = this.findChains(sections, tolerance, middle);
			chains = better ?? chains;
			low = better ? middle : low;
			high = better ? high : middle;
			if (low === high) {
				break;
			}
		}

		return {sections, chains, capacity: low};
	}

	/** Returns divisions of the model into sections of the same length, of which the first ones may have one copy more. */
	private listDivisions(): ReadonlyArray<readonly Section[]> {
		const {layers} = this.model;
		const least = Math.max(1, Math.floor(computeCapacityBound(this.servers, this.model) / this.maxCapacity));
		const divisions: Section[][] = [];
		for (let length = layers; length >= minSection; length--) {
			const ranges = Array.from({length: Math.ceil(layers / length)}, (_, index) => ({from: index * length, to: Math.min(layers, (index + 1) * length)}));
			for (let copies = least; copies <= least + extraCopies; copies++) {
				for (let strengthened = 0; strengthened < ranges.length; strengthened++) {
					divisions.push(ranges.map((range, index) => ({range, copies: index < strengthened ? copies + 1 : copies})));
				}
			}
		}

		return divisions;
	}

	/** Returns chains that give each layer of the sections a token capacity; undefined if none were found. */
	private findChains(sections: readonly Section[], tolerance: number, capacity: number): readonly Chain[] | undefined {
		if (sections.some(({copies}) => capacity / copies > this.maxCapacity)) {
			return undefined;
		}

		const sizes = sections.map(({copies}) => this.pools.map(({acceleratorType}) => computeLayersForCapacity(this.model, acceleratorType, capacity / copies)));
		if (!mightSuffice(this.pools.map(({members}) => members.length), sizes, sections)) {
			return undefined;
		}

		const order = sections.flatMap((section, index) => Array.from({length: section.copies}, (_, copy) => ({section, sizes: sizes[index], copy})));
		const orders = sections.length === 1 ? [order] : [order.toSorted((left, right) => left.copy - right.copy), order];
		for (const parts of orders) {
			const chains = this.fillChains(parts, tolerance);
			if (chains) {
				return chains;
			}
		}

		return undefined;
	}

	private fillChains(parts: ReadonlyArray<{readonly section: Section; readonly sizes: readonly number[]}>, tolerance: number): readonly Chain[] | undefined {
		const used = this.pools.map(() => 0);
		const chains: Chain[] = [];
		for (const {section: {range}, sizes} of parts) {
			const counts = selectChain(this.pools, this.pools.map(({members}, index) => members.length - used[index]), sizes, {length: range.to - range.from, tolerance});
			if (!counts) {
				return undefined;
			}

			chains.push({range, members: this.pools.flatMap(({members}, index) => members.slice(used[index], used[index] + counts[index]))});
			for (const [index, count] of counts.entries()) {
				used[index] += count;
			}
		}

		return chains;
	}

	/** Distributes the layers of each chain over its servers, and puts the servers that are left where layers have least. */
	private placeServers(chains: readonly Chain[]): readonly Placement[] {
		const placements = chains.flatMap(({range, members}) => {
			const capacity = findAchievableCapacity(members, this.model, this.maxCapacity, range.to - range.from) ?? 0;
			return assignLayers([...members], range, this.model, capacity);
		});
		const placed = new Set(placements.map(({server}) => server));
		for (const {acceleratorType, members} of this.pools) {
			for (const {server} of members.filter(member => !placed.has(member.server))) {
				const capacities = computeCapacityByLayer(placements, this.model, this.maxCapacity);
				const range = findStrengtheningRange(capacities, placements.map(placement => placement.range), acceleratorType, this.model);
				if (range) {
					placements.push({server, range});
				}
			}
		}

		return placements;
	}
}

/**
Plans ranges for servers that have no layers, so that the scarcest layer has as much token capacity as possible.

The model is divided into at most two sections, and each section is held by a number of whole chains of servers with the same capacity. The longer a section is, the fewer chains it has. Every pipeline along the chains uses the whole range of each server, so that the capacity of the scarcest layer can be used; overlapping ranges would have more capacity by layer, but pipelines that use a part of a range waste the rest. The result depends only on the arguments.

@returns an empty array if no such chains were found
*/
export function planBalancedCandidates(servers: readonly BackendServer[], model: EngineModel): ReadonlyArray<readonly Placement[]> {
	return new BalancedPlanner(servers, model).plan();
}
