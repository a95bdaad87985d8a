import {type EngineModel} from '../pipelines/engine-model.js';
import {getLayerCount} from '../pipelines/layer-range.js';
import {computeMaxCapacity, type Placement} from './initial-placement.js';
import {computeCapacityByLayer, computeServerCapacity, type LayerAssignment} from './layer-capacity.js';
import {computeScarcity, findStrengtheningRange} from './strengthening-range.js';

/** Why servers move, or why not. */
export enum RebalanceOutcome {
	Moved = 'moved',
	/** Servers load layers, have none, or layers are missing: repair comes first. */
	InRepair = 'in_repair',
	/** The scarcest layer has enough capacity for the demand. */
	Sufficient = 'sufficient',
	/** The shortage has not lasted longer than the loading of weights. */
	Recent = 'recent',
	/** No server can be spared while it loads, as the demand needs its layers. */
	Unsafe = 'unsafe',
	/** No move gains enough for its cost. */
	NoGain = 'no_gain',
}

/** What a rebalance depends on besides the assignments. */
export type RebalanceConditions = {
	/** Tokens that requests hold in each layer. */
	readonly demand: number;
	/** Milliseconds for which the demand has been near the capacity and the assignments have not changed. */
	readonly shortageTime: number;
	/** Most servers that may move at a time. */
	readonly maxMoves: number;
};

export type Rebalance = {
	readonly outcome: RebalanceOutcome;
	readonly moves: readonly Placement[];
	/** Token capacity of the scarcest layer. */
	readonly scarcest: number;
	/** Token capacity of the scarcest layer after the moves. */
	readonly planned: number;
};

/** Fraction of the scarcest layer's capacity up to which a demand is no reason to move servers. */
const pressureShare = 0.8;
/** Relative gain of the scarcest layer that a move must bring. Smaller gains do not make up for a load that fails. */
const minGain = 0.1;
/** How many times the capacity that is lost while weights load must be regained, if the shortage lasts as long again as it has. */
const costFactor = 2;

/** Whether a demand is near the capacity of the scarcest layer. */
export function isUnderPressure(demand: number, scarcest: number): boolean {
	return demand > scarcest * pressureShare;
}

type Candidate = {
	readonly placement: Placement;
	readonly capacities: readonly number[];
	/** Capacities while the server loads its new layers. */
	readonly interim: readonly number[];
	/** Token capacity that the server loses while it loads. */
	readonly lost: number;
};

function sum(left: readonly number[], right: readonly number[], sign: 1 | -1): readonly number[] {
	return left.map((value, index) => value + (sign * right[index]));
}

/** The capacities after the moves that are planned so far, and the scarcest layer's before them. */
type State = Pick<Candidate, 'capacities' | 'interim'> & {readonly scarcest: number};

/** Returns the move that strengthens the scarcest layers most without taking capacity that the demand needs; undefined if no server can be spared. */
function findBestMove(assignments: readonly LayerAssignment[], model: EngineModel, state: State, demand: number): Candidate | undefined {
	const maxCapacity = computeMaxCapacity(model);
	const tried = new Set<string>();
	let best: Candidate | undefined;
	let least = Number.POSITIVE_INFINITY;
	for (const {server, range} of assignments) {
		const acceleratorType = model.acceleratorTypes.get(server.card);
		const key = `${server.card} ${range?.from} ${range?.to}`;
		if (!range || !acceleratorType || tried.has(key)) {
			continue;
		}

		tried.add(key);
		const own = computeCapacityByLayer([{server, range}], model, maxCapacity);
		const interim = sum(state.interim, own, -1);
		if (interim.some(capacity => capacity < demand)) {
			continue;
		}

		const without = sum(state.capacities, own, -1);
		const ranges = assignments.flatMap(assignment => assignment.range && assignment.server !== server ? [assignment.range] : []);
		const target = findStrengtheningRange(without, ranges, acceleratorType, model) ?? range;
		const capacities = sum(without, computeCapacityByLayer([{server, range: target}], model, maxCapacity), 1);
		const weight = computeScarcity(capacities, state.scarcest);
		if (weight < least) {
			least = weight;
			best = {
				placement: {server, range: target}, capacities, interim, lost: computeServerCapacity(server, range, model),
			};
		}
	}

	return best;
}

/**
Plans few moves of loaded servers to the scarcest layers of a zone after a lasting change of its demand or its fleet.

Nothing moves while the demand leaves a fifth of the scarcest layer free, while repair is at work, before the shortage has lasted as long as weights take to load, where the demand needs the layers of every server, or where the gain does not exceed the capacity that is lost meanwhile. A shortage is expected to last as long again as it has lasted.
*/
export function planRebalance(assignments: readonly LayerAssignment[], model: EngineModel, {demand, shortageTime, maxMoves}: RebalanceConditions): Rebalance {
	const capacities = computeCapacityByLayer(assignments, model, computeMaxCapacity(model));
	const scarcest = Math.min(...capacities);
	const refuse = (outcome: RebalanceOutcome): Rebalance => ({
		outcome, moves: [], scarcest, planned: scarcest,
	});
	if (scarcest <= 0 || assignments.some(({server, range, isLoaded}) => model.acceleratorTypes.has(server.card) && (!range || !isLoaded))) {
		return refuse(RebalanceOutcome.InRepair);
	}

	if (!isUnderPressure(demand, scarcest)) {
		return refuse(RebalanceOutcome.Sufficient);
	}

	if (shortageTime < model.loadTime) {
		return refuse(RebalanceOutcome.Recent);
	}

	let remaining = assignments;
	let state = {capacities, interim: capacities};
	let lost = 0;
	let loadTime = 0;
	const tried: Placement[] = [];
	let accepted = refuse(RebalanceOutcome.NoGain);
	while (tried.length < maxMoves) {
		const best = findBestMove(remaining, model, {...state, scarcest}, demand);
		if (!best) {
			return tried.length === 0 ? refuse(RebalanceOutcome.Unsafe) : accepted;
		}

		tried.push(best.placement);
		// Servers that load at the same time share the bandwidth of the weight store.
		loadTime += model.loadTime * getLayerCount(best.placement.range) / model.layers;
		lost += best.lost;
		const planned = Math.min(...best.capacities);
		if (planned - accepted.planned >= scarcest * minGain && (planned - scarcest) * shortageTime >= lost * loadTime * costFactor) {
			accepted = {
				outcome: RebalanceOutcome.Moved, moves: [...tried], scarcest, planned,
			};
		}

		state = best;
		remaining = remaining.filter(({server}) => server !== best.placement.server);
	}

	return accepted;
}
