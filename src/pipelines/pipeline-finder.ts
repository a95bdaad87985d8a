import {type BackendServer} from './backend-server.js';
import {type LayerRange} from './layer-range.js';
import {type Pipeline, type Stage} from './pipeline.js';

/** Costs of a pipeline; infinite where a stage must not be used. */
export type PipelineCosts = {
	/** Cost of running layers on a server. */
	readonly computeStageCost: (server: BackendServer, range: LayerRange) => number;
	/** Cost of passing activations to a server in another availability zone. */
	readonly crossingCost: number;
};

/** A pipeline with the sum of its costs. */
export type PricedPipeline = {
	readonly pipeline: Pipeline;
	readonly cost: number;
};

type Step = {
	readonly cost: number;
	readonly stage?: Stage;
	readonly previous?: Step;
};

type Holder = {
	readonly server: BackendServer;
	readonly range: LayerRange;
};

type Layout = {
	readonly holders: readonly Holder[];
	/** The places at which a pipeline may pass from one server to the next, in ascending order. */
	readonly boundaries: readonly number[];
};

/** The cheapest ways to each place between layers, by the availability zone of the last server. */
type Frontier = Map<number, Map<string, Step>>;

const maximumStages = 32;

function holdersOf(servers: readonly BackendServer[]): readonly Holder[] {
	return servers.flatMap(server => server.range ? [{server, range: server.range}] : []);
}

/** The places at which a pipeline may pass from one server to the next, in ascending order. */
function boundariesOf(holders: readonly Holder[], layers: number): readonly number[] {
	const boundaries = new Set([0, layers]);
	for (const {range} of holders) {
		boundaries.add(range.from);
		boundaries.add(range.to);
	}

	return [...boundaries].filter(boundary => boundary >= 0 && boundary <= layers).toSorted((left, right) => left - right);
}

function isUsedBy(last: Step, server: BackendServer): boolean {
	for (let step: Step | undefined = last; step?.stage; step = step.previous) {
		if (step.stage.server === server) {
			return true;
		}
	}

	return false;
}

function stagesOf(last: Step): Pipeline {
	const stages: Stage[] = [];
	for (let step: Step | undefined = last; step?.stage; step = step.previous) {
		stages.unshift(step.stage);
	}

	return stages;
}

function offer(frontier: Frontier, to: number, zone: string, step: Step): void {
	const steps = frontier.get(to) ?? new Map<string, Step>();
	if (step.cost < (steps.get(zone)?.cost ?? Number.POSITIVE_INFINITY)) {
		steps.set(zone, step);
		frontier.set(to, steps);
	}
}

/** Takes each way to a place on through each server that holds the next layer. */
function extend(frontier: Frontier, from: number, {holders, boundaries}: Layout, costs: PipelineCosts): void {
	for (const step of frontier.get(from)?.values() ?? []) {
		const previousZone = step.stage?.server.availabilityZone;
		for (const {server, range} of holders) {
			if (range.from > from || range.to <= from || isUsedBy(step, server)) {
				continue;
			}

			const zone = server.availabilityZone;
			const crossing = previousZone === undefined || previousZone === zone ? 0 : costs.crossingCost;
			for (const to of boundaries) {
				if (to > from && to <= range.to) {
					const part = {from, to};
					offer(frontier, to, zone, {cost: step.cost + crossing + costs.computeStageCost(server, part), stage: {server, range: part}, previous: step});
				}
			}
		}
	}
}

/**
The cheapest pipeline through servers that each hold a range of layers: a shortest path over the layer boundaries.

A server may run a part of its range, so ranges may overlap.

@param servers - the servers to choose from; those without layers are passed over
@param layers - number of layers of the model
@returns undefined where the usable servers do not cover all layers
*/
export function findPipeline(servers: readonly BackendServer[], layers: number, costs: PipelineCosts): PricedPipeline | undefined {
	const holders = holdersOf(servers);
	const boundaries = boundariesOf(holders, layers);
	const frontier: Frontier = new Map([[0, new Map([['', {cost: 0}]])]]);
	for (const from of boundaries) {
		extend(frontier, from, {holders, boundaries}, costs);
	}

	let best: Step | undefined;
	for (const step of frontier.get(layers)?.values() ?? []) {
		if (step.cost < (best?.cost ?? Number.POSITIVE_INFINITY)) {
			best = step;
		}
	}

	const pipeline = best && stagesOf(best);
	return best && pipeline && pipeline.length <= maximumStages ? {pipeline, cost: best.cost} : undefined;
}
