import {type BackendServer} from '../pipelines/backend-server.js';
import {computeTokenCapacity, type EngineModel} from '../pipelines/engine-model.js';
import {getLayerCount} from '../pipelines/layer-range.js';
import {type ServerLoad} from '../pipelines/server-load.js';
import {type FullStages} from './full-stages.js';
import {type PeerForecast} from './peer-forecast.js';

/** The predicted memory of a backend server, in tokens. */
export type MemoryForecast = {
	readonly capacity: number;
	/** Held by requests of this instance. */
	readonly own: number;
	/** Held by requests of others according to their reports. */
	readonly peers: number;
	/** Probably started by others since, less what probably ended. */
	readonly growth: number;
	/** Probably started by others since. */
	readonly started: number;
	/** Probably ended by others since. */
	readonly ended: number;
	/** Shown by a rejection beyond the reports and the growth. */
	readonly unknown: number;
	/** Kept free because the growth is uncertain. */
	readonly margin: number;
	/** Mean age in milliseconds of the reports. */
	readonly age: number;
};

/** Returns the tokens that a server is predicted to hold, including the margin. */
export function sumPredictedTokens({own, peers, growth, unknown, margin}: MemoryForecast): number {
	return own + peers + growth + unknown + margin;
}

/** Predicts what backend servers hold now, from reports that are late, from their growth and from rejections. */
export class OccupancyForecast {
	constructor(
		private readonly dependencies: {
			readonly load: ServerLoad;
			readonly fullStages: FullStages;
			readonly getPeerForecast: (server: BackendServer, now: number) => PeerForecast;
		},
		/** Standard deviations of the change since the reports that are kept free. */
		private readonly marginDeviations: number,
	) {}

	/**
	Returns the memory that a server is predicted to hold.

	@param tokens - tokens of a usual request, whose number determines how uncertain the growth is
	@returns undefined for a server without known capacity
	*/
	predict(server: BackendServer, model: EngineModel, tokens: number, now: number): MemoryForecast | undefined {
		const acceleratorType = model.acceleratorTypes.get(server.card);
		if (!acceleratorType || !server.range) {
			return undefined;
		}

		const {load, fullStages, getPeerForecast} = this.dependencies;
		const peer = getPeerForecast(server, now);
		const growth = Math.max(-peer.tokens, (peer.startRate - peer.endRate) * peer.age);
		const margin = this.marginDeviations * Math.sqrt((peer.startRate + peer.endRate) * peer.age * tokens);
		return {
			capacity: computeTokenCapacity(model, acceleratorType, getLayerCount(server.range)),
			own: load.getTokens(server),
			peers: peer.tokens,
			growth,
			started: peer.startRate * peer.age,
			ended: Math.min(peer.tokens, peer.endRate * peer.age),
			unknown: Math.max(0, fullStages.getUnknownTokens(server, now) - Math.max(0, growth)),
			margin,
			age: peer.age,
		};
	}

	/**
	Records that a server rejected a request for lack of memory.

	@param needed - tokens for which it had no room
	*/
	recordRejection(server: BackendServer, model: EngineModel, needed: number, now: number): void {
		const forecast = this.predict(server, model, needed, now);
		if (forecast) {
			this.dependencies.fullStages.record(server, forecast.capacity - needed - forecast.own - forecast.peers, now);
		}
	}
}
