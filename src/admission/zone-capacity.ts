import {type BackendServer} from '../pipelines/backend-server.js';
import {computeTokenCapacity, computeUsualRequestTokens, type EngineModel} from '../pipelines/engine-model.js';
import {getLayerCount} from '../pipelines/layer-range.js';

/** Interval in milliseconds at which the capacity is computed again. */
const refreshIntervalMs = 1000;

type Computed = {readonly requests: number; readonly at: number};

/** Returns the number of usual requests that servers hold at once, as the mean over the layers of the model. */
export function computeRequestCapacity(servers: readonly BackendServer[], model: EngineModel): number {
	let tokenLayers = 0;
	for (const {card, range} of servers) {
		const acceleratorType = model.acceleratorTypes.get(card);
		if (acceleratorType && range) {
			const layers = getLayerCount(range);
			tokenLayers += layers * computeTokenCapacity(model, acceleratorType, layers);
		}
	}

	return tokenLayers / model.layers / computeUsualRequestTokens(model);
}

/** The number of usual requests that the servers of a service in one availability zone hold at once. */
export class ZoneCapacity {
	private readonly computed = new Map<string, Computed>();

	/**
	@param findServers - returns the usable servers of a service in the zone
	@param findModel - returns the model of a service of the active configuration
	*/
	constructor(private readonly findServers: (service: string) => readonly BackendServer[], private readonly findModel: (service: string) => EngineModel | undefined) {}

	/** Returns the number of requests; undefined if the service has no model. */
	countRequests(service: string, now: number): number | undefined {
		const known = this.computed.get(service);
		if (known && now - known.at < refreshIntervalMs) {
			return known.requests;
		}

		const model = this.findModel(service);
		if (!model) {
			this.computed.delete(service);
			return undefined;
		}

		const requests = computeRequestCapacity(this.findServers(service), model);
		this.computed.set(service, {requests, at: now});
		return requests;
	}
}
