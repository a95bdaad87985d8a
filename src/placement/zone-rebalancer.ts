import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';
import {type EngineModel} from '../pipelines/engine-model.js';
import {computeMaxCapacity, type Placement} from './initial-placement.js';
import {computeCapacityByLayer, type LayerAssignment} from './layer-capacity.js';
import {isUnderPressure, planRebalance, type RebalanceOutcome} from './rebalance-plan.js';

export type ZoneRebalancerDependencies = {
	readonly metrics: Metrics;
	readonly log: DecisionLog;
	/** Returns the tokens that requests of all instances are known to hold on a server. */
	readonly getTokens: (server: BackendServer, now: number) => number;
};

type ZoneState = {
	/** The servers and their ranges when the shortage was first seen. */
	readonly signature: string;
	/** Monotonic time at which the shortage was first seen. */
	readonly since: number;
	readonly outcome?: RebalanceOutcome;
};

/** Returns the tokens that requests hold in each layer. Every request passes each layer once, so the layer with the fewest tokens counts: elsewhere, servers are used for a part of their layers. */
function computeDemand(assignments: readonly LayerAssignment[], model: EngineModel, getTokens: (server: BackendServer) => number): number {
	const tokens = Array.from({length: model.layers}, () => 0);
	for (const {server, range} of assignments) {
		const held = getTokens(server);
		for (let layer = range?.from ?? 0; layer < Math.min(range?.to ?? 0, model.layers); layer++) {
			tokens[layer] += held;
		}
	}

	return Math.min(...tokens);
}

/** Keeps how long the demand of each zone has been near its capacity, and plans moves where that lasts. */
export class ZoneRebalancer {
	private readonly zones = new Map<string, ZoneState>();

	/** @param maxMoves - most servers of a zone that move at a time; 0 if none may */
	constructor(private readonly dependencies: ZoneRebalancerDependencies, private readonly maxMoves: number) {}

	/** Returns the moves for a zone of a service, which its caller orders. */
	plan(zone: string, assignments: readonly LayerAssignment[], model: EngineModel, now: number): readonly Placement[] {
		if (this.maxMoves === 0) {
			return [];
		}

		const {metrics, log, getTokens} = this.dependencies;
		const demand = computeDemand(assignments, model, server => getTokens(server, now));
		const scarcest = Math.min(...computeCapacityByLayer(assignments, model, computeMaxCapacity(model)));
		if (!isUnderPressure(demand, scarcest)) {
			this.zones.delete(zone);
			return [];
		}

		const signature = assignments.map(({server, range}) => `${getIncarnationId(server)} ${range?.from} ${range?.to}`).toSorted().join(', ');
		const known = this.zones.get(zone);
		const state = known?.signature === signature ? known : {signature, since: now};
		const shortageTime = now - state.since;
		const {outcome, moves, planned} = planRebalance(assignments, model, {demand, shortageTime, maxMoves: this.maxMoves});
		this.zones.set(zone, {...state, outcome});
		if (outcome !== state.outcome) {
			metrics.count('siskinnotch_rebalances', 1, {outcome});
			log.write('placement.rebalance', {
				zone, outcome, moves: moves.length, demand: Math.round(demand), scarcest: Math.round(scarcest), planned: Math.round(planned), shortageTime: Math.round(shortageTime),
			});
		}

		return moves;
	}
}
