import {type BackendServer} from '../pipelines/backend-server.js';
import {computeTokenCapacity} from '../pipelines/engine-model.js';
import {getLayerCount} from '../pipelines/layer-range.js';
import {type PipelineRequest} from '../pipelines/pipeline-request.js';
import {type SelectionWeights} from '../pipelines/selection-weights.js';
import {type ServerLoad} from '../pipelines/server-load.js';
import {type ServerSlowdowns} from '../pipelines/server-slowdowns.js';
import {LayerPrices, type LayerCost, type PriceOptions} from './layer-prices.js';

/** Prices layers by the loads that are known, as if they were current. The same for all instances that know the same. */
export class ReportedPrices extends LayerPrices {
	constructor(
		private readonly dependencies: {
			readonly load: ServerLoad;
			readonly slowdowns: ServerSlowdowns;
			readonly getPeerTokens: (server: BackendServer, now: number) => number;
		},
		private readonly weights: SelectionWeights,
	) {
		super();
	}

	price(_servers: readonly BackendServer[], request: PipelineRequest, {maxOccupancy}: PriceOptions, now: number): LayerCost {
		return server => this.computeLayerCost(server, request, maxOccupancy, now);
	}

	predictMemory(): undefined {
		return undefined;
	}

	private computeLayerCost(server: BackendServer, {model, tokens}: PipelineRequest, maxOccupancy: number, now: number): number {
		const acceleratorType = model.acceleratorTypes.get(server.card);
		if (!acceleratorType || !server.range) {
			return Number.POSITIVE_INFINITY;
		}

		const capacity = computeTokenCapacity(model, acceleratorType, getLayerCount(server.range));
		const occupancy = this.computeOccupancy(server, capacity, now);
		return tokens > capacity || occupancy + (tokens / capacity) > maxOccupancy
			? Number.POSITIVE_INFINITY
			: acceleratorType.pace * this.dependencies.slowdowns.getFactor(server, now) * (1 + (this.weights.occupancyWeight * (occupancy ** 2)));
	}

	/** Returns the used fraction of a server's memory or slots, whichever is larger. */
	private computeOccupancy(server: BackendServer, capacity: number, now: number): number {
		const {load, getPeerTokens} = this.dependencies;
		const memory = (load.getTokens(server) + getPeerTokens(server, now)) / capacity;
		const reported = load.getReportedRequests(server, now, this.weights.maxLoadAge) ?? 0;
		return Math.max(memory, Math.max(reported, load.getRequests(server)) / Math.max(1, server.slots));
	}
}
