import {type BackendServer} from '../pipelines/backend-server.js';
import {type PipelineRequest} from '../pipelines/pipeline-request.js';
import {type MemoryForecast} from './occupancy-forecast.js';

/** Returns the cost of one layer on a server; infinite if the server has no room for the request. */
export type LayerCost = (server: BackendServer) => number;

/** How servers are priced. */
export type PriceOptions = {
	/** Fraction of the capacity that may be used; infinite where the request is to wait for room. */
	readonly maxOccupancy: number;
	/** Whether only the speed of the servers counts. */
	readonly isFastest?: boolean;
	/** Whether nothing is to be sent: prices are then not perturbed, and nothing is recorded. */
	readonly isExplanation?: boolean;
};

/** Prices the layers that servers run for a request. */
export abstract class LayerPrices {
	/**
	Prices the servers for one selection.

	@param servers - the servers to choose from
	*/
	abstract price(servers: readonly BackendServer[], request: PipelineRequest, options: PriceOptions, now: number): LayerCost;

	/** Returns the memory that a server is predicted to hold; undefined where loads are not predicted. */
	abstract predictMemory(server: BackendServer, request: PipelineRequest, now: number): MemoryForecast | undefined;
}
