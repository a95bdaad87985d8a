import {type BackendServer} from '../pipelines/backend-server.js';
import {computeUsualRequestTokens, type EngineModel} from '../pipelines/engine-model.js';
import {computeCapacityBound, planBalancedCandidates} from './balanced-placement.js';
import {
	computeMaxCapacity, computeTargetCapacity, planInitialPlacement, type Placement,
} from './initial-placement.js';
import {computeCapacityByLayer} from './layer-capacity.js';
import {packRequests} from './packed-load.js';
import {PlacementPlan} from './placement-plan.js';

/** How well a placement uses the memory of its servers. Capacities are numbers of usual requests, as many as fit into the memory and the slots at the same time, rounded down. */
export type PlacementFigures = {
	/** Capacity of the layer that has least. */
	readonly scarcest: number;
	readonly mean: number;
	/** Capacity that no placement of these servers exceeds at the scarcest layer. */
	readonly bound: number;
	/** `bound` minus `scarcest`. */
	readonly loss: number;
	/** Requests that fit if their pipelines are selected one after the other. */
	readonly packed: number;
	/** Layer numbers at which ranges begin or end. */
	readonly boundaries: number;
};

/** The ranges for the servers of a zone, with the plan that they follow. */
export type ZonePlacement = {
	readonly plan: PlacementPlan;
	readonly placements: readonly Placement[];
};

/** Relative gain in score below which the plan of copies is kept. */
const minGain = 0.02;

/** Rates a placement: a gain in capacity counts as much as the same relative gain in speed under full load. */
function computeScore(placements: readonly Placement[], model: EngineModel): number {
	const {tokens, rate} = packRequests(placements, model);
	return tokens * rate;
}

/** Returns a function that tells whether a placement has at least as much capacity at its scarcest layer as another one, with the limit of the slots and without. */
function createComparison(other: readonly Placement[], model: EngineModel): (placements: readonly Placement[]) => boolean {
	const computeScarcest = (placements: readonly Placement[]) => [
		Math.min(...computeCapacityByLayer(placements, model, computeMaxCapacity(model))),
		Math.min(...computeCapacityByLayer(placements, model)),
	];
	const bounds = computeScarcest(other);
	return placements => computeScarcest(placements).every((capacity, index) => capacity >= bounds[index]);
}

/** Computes how well a placement uses the memory of the servers that it could use. */
export function computePlacementFigures(servers: readonly BackendServer[], placements: readonly Placement[], model: EngineModel): PlacementFigures {
	const tokens = computeUsualRequestTokens(model);
	const toRequests = (value: number) => Math.floor(value / tokens);
	const capacities = computeCapacityByLayer(placements, model, computeMaxCapacity(model));
	const scarcest = toRequests(Math.min(...capacities));
	const bound = toRequests(computeCapacityBound(servers, model));
	return {
		scarcest,
		mean: toRequests(capacities.reduce((sum, capacity) => sum + capacity, 0) / model.layers),
		bound,
		loss: bound - scarcest,
		packed: toRequests(packRequests(placements, model).tokens),
		boundaries: new Set(placements.flatMap(({range}) => [range.from, range.to])).size,
	};
}

/**
Plans the initial ranges of the servers of a zone.

A balanced plan is used only if its scarcest layer has at least as much capacity as in the plan of copies, and if it has the better score.

@param slotShare - fraction of a server's slots for whose requests its memory should have capacity in the plan of copies
@returns no placements if the memory of the servers cannot hold the model
*/
export function planZonePlacement(servers: readonly BackendServer[], model: EngineModel, slotShare: number, plan: PlacementPlan): ZonePlacement {
	const copies = planInitialPlacement(servers, model, computeTargetCapacity(model, slotShare));
	let best: ZonePlacement = {plan: PlacementPlan.Chains, placements: copies};
	if (plan === PlacementPlan.Chains || copies.length === 0) {
		return best;
	}

	const isAsGood = createComparison(copies, model);
	let highest = computeScore(copies, model) * (1 + minGain);
	for (const placements of planBalancedCandidates(servers, model)) {
		const score = isAsGood(placements) ? computeScore(placements, model) : 0;
		if (score > highest) {
			highest = score;
			best = {plan: PlacementPlan.Balanced, placements};
		}
	}

	return best;
}
