import {type BackendServer} from './backend-server.js';
import {type LayerRange} from './layer-range.js';
import {type Pipeline, type Stage} from './pipeline.js';

/** Cost functions of a pipeline. */
export type PipelineCosts = {
	/** Returns the cost of running layers on a server; infinite if the server must not run them. */
	readonly computeStageCost: (server: BackendServer, range: LayerRange) => number;
	/** Cost of sending activations to a server in another availability zone. */
	readonly crossingCost: number;
};

/** A pipeline and its total cost. */
export type PricedPipeline = {
	readonly pipeline: Pipeline;
	readonly cost: number;
};

/** The last stage of a partial pipeline, linked to the stages before it. The start has no stage. */
type PathNode = {
	readonly cost: number;
	readonly stage?: Stage;
	readonly previous?: PathNode;
};

/** A server that has layers loaded. */
type LoadedServer = {
	readonly server: BackendServer;
	readonly range: LayerRange;
};

type SearchSpace = {
	readonly servers: readonly LoadedServer[];
	/** Layer numbers at which one server may hand over to the next, in ascending order. */
	readonly boundaries: readonly number[];
};

/** The cheapest partial pipelines up to each boundary, by the availability zone of their last server. */
type Frontier = Map<number, Map<string, PathNode>>;

const maximumStages = 32;

function findLoadedServers(servers: readonly BackendServer[]): readonly LoadedServer[] {
	return servers.flatMap(server => server.range ? [{server, range: server.range}] : []);
}

/** Returns the layer numbers at which one server may hand over to the next, in ascending order. */
function collectBoundaries(servers: readonly LoadedServer[], layers: number): readonly number[] {
	const boundaries = new Set([0, layers]);
	for (const {range} of servers) {
		boundaries.add(range.from);
		boundaries.add(range.to);
	}

	return [...boundaries].filter(boundary => boundary >= 0 && boundary <= layers).toSorted((left, right) => left - right);
}

function isUsedBy(last: PathNode, server: BackendServer): boolean {
	for (let node: PathNode | undefined = last; node?.stage; node = node.previous) {
		if (node.stage.server === server) {
			return true;
		}
	}

	return false;
}

function collectStages(last: PathNode): Pipeline {
	const stages: Stage[] = [];
	for (let node: PathNode | undefined = last; node?.stage; node = node.previous) {
		stages.unshift(node.stage);
	}

	return stages;
}

/** Stores a partial pipeline if it is cheaper than the known one with the same end and zone. */
function addIfCheaper(frontier: Frontier, to: number, zone: string, node: PathNode): void {
	const nodes = frontier.get(to) ?? new Map<string, PathNode>();
	if (node.cost < (nodes.get(zone)?.cost ?? Number.POSITIVE_INFINITY)) {
		nodes.set(zone, node);
		frontier.set(to, nodes);
	}
}

/** Extends each partial pipeline that ends at a boundary by each server that has the next layer. */
function extendFrom(frontier: Frontier, from: number, {servers, boundaries}: SearchSpace, costs: PipelineCosts): void {
	for (const node of frontier.get(from)?.values() ?? []) {
		const previousZone = node.stage?.server.availabilityZone;
		for (const {server, range} of servers) {
			if (range.from > from || range.to <= from || isUsedBy(node, server)) {
				continue;
			}

			const zone = server.availabilityZone;
			const crossing = previousZone === undefined || previousZone === zone ? 0 : costs.crossingCost;
			for (const to of boundaries) {
				if (to > from && to <= range.to) {
					const part = {from, to};
					addIfCheaper(frontier, to, zone, {cost: node.cost + crossing + costs.computeStageCost(server, part), stage: {server, range: part}, previous: node});
				}
			}
		}
	}
}

/**
Finds the cheapest pipeline over servers that each have a range of layers loaded, as a shortest path over the layer boundaries.

A server may run only part of its range, so the ranges of servers may overlap.

@param servers - the servers to choose from; those without layers are ignored
@param layers - number of layers of the model
@returns undefined if the servers do not cover all layers, or if the cheapest pipeline has more than 32 stages
*/
export function findPipeline(servers: readonly BackendServer[], layers: number, costs: PipelineCosts): PricedPipeline | undefined {
	const loadedServers = findLoadedServers(servers);
	const boundaries = collectBoundaries(loadedServers, layers);
	const frontier: Frontier = new Map([[0, new Map([['', {cost: 0}]])]]);
	for (const from of boundaries) {
		extendFrom(frontier, from, {servers: loadedServers, boundaries}, costs);
	}

	let best: PathNode | undefined;
	for (const node of frontier.get(layers)?.values() ?? []) {
		if (node.cost < (best?.cost ?? Number.POSITIVE_INFINITY)) {
			best = node;
		}
	}

	const pipeline = best && collectStages(best);
	return best && pipeline && pipeline.length <= maximumStages ? {pipeline, cost: best.cost} : undefined;
}
