import {type BackendServer} from '../pipelines/backend-server.js';
import {type PipelineRequest} from '../pipelines/pipeline-selector.js';

/** Returns the cost of one layer on a server; infinite if the server has no room for the request. */
export type LayerCost = (server: BackendServer) => number;

/** Prices the layers that servers run for a request. */
export abstract class LayerPrices {
	/**
	Prices the servers for one selection.

	@param servers - the servers to choose from
	@param maxOccupancy - fraction of the capacity that may be used; infinite where the request is to wait for room
	*/
	abstract price(servers: readonly BackendServer[], request: PipelineRequest, maxOccupancy: number, now: number): LayerCost;
}
