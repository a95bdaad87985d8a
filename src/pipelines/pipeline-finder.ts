import {type BackendServer} from './backend-server.js';
import {type LayerRange} from './layer-range.js';
import {type Pipeline, type Stage} from './pipeline.js';

/**
Cost of running some layers on a server; infinite where it must not be used.

@param server - the server
@param range - the layers that the request would run there
*/
export type StageCost = (server: BackendServer, range: LayerRange) => number;

/** A pipeline with the sum of the costs of its stages. */
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

const maximumStages = 32;

function holdersOf(servers: readonly BackendServer[]): readonly Holder[] {
	return servers.flatMap(server => server.range ? [{server, range: server.range}] : []);
}

function stagesOf(last: Step): Pipeline {
	const stages: Stage[] = [];
	for (let step: Step | undefined = last; step?.stage; step = step.previous) {
		stages.unshift(step.stage);
	}

	return stages;
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

/**
The cheapest pipeline through servers that each hold a range of layers: a shortest path over the layer boundaries.

A server may run a part of its range, so ranges may overlap.

@param servers - the servers to choose from; those without layers are passed over
@param layers - number of layers of the model
@param costOf - the cost of a stage
@returns undefined where the usable servers do not cover all layers
*/
export function findPipeline(servers: readonly BackendServer[], layers: number, costOf: StageCost): PricedPipeline | undefined {
	const holders = holdersOf(servers);
	const boundaries = boundariesOf(holders, layers);
	const best = new Map<number, Step>([[0, {cost: 0}]]);
	for (const from of boundaries) {
		const step = best.get(from);
		if (!step) {
			continue;
		}

		for (const {server, range} of holders) {
			if (range.from > from || range.to <= from || isUsedBy(step, server)) {
				continue;
			}

			for (const to of boundaries) {
				if (to <= from || to > range.to) {
					continue;
				}

				const cost = step.cost + costOf(server, {from, to});
				if (cost < (best.get(to)?.cost ?? Number.POSITIVE_INFINITY)) {
					best.set(to, {cost, stage: {server, range: {from, to}}, previous: step});
				}
			}
		}
	}

	const last = best.get(layers);
	if (!last) {
		return undefined;
	}

	const pipeline = stagesOf(last);
	return pipeline.length > maximumStages ? undefined : {pipeline, cost: last.cost};
}

function isUsedBy(last: Step, server: BackendServer): boolean {
	for (let step: Step | undefined = last; step?.stage; step = step.previous) {
		if (step.stage.server === server) {
			return true;
		}
	}

	return false;
}
