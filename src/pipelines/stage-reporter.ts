import {type BackendServer} from './backend-server.js';
import {type LayerRange} from './layer-range.js';

/** What a backend server tells of itself when asked. */
export type StageReport = {
	/** Speed relative to the usual; above 1 it is slow. */
	readonly slowdownFactor: number;
	/** Unix time in milliseconds of its start; undefined where it does not tell. */
	readonly startedAt?: number;
	/** Layers that it holds; undefined where it holds none. */
	readonly range?: LayerRange;
	/** Orders that it has accepted in this life. */
	readonly acceptedOrders: number;
	/** Whether an order is being carried out. */
	readonly isBusy: boolean;
	/** Its requests that wait for another stage, by request id, with the address of that stage. */
	readonly blockedRequests: ReadonlyMap<string, string>;
};

/** What a backend server says of its health. */
export enum Health {
	Good = 'good',
	/** It fails or is leaving. */
	Bad = 'bad',
	/** It had no place for the question. */
	Busy = 'busy',
}

/** Asks backend servers for their state. */
export abstract class StageReporter {
	/** Rejects where the server gives no answer. */
	abstract fetchReport(server: BackendServer): Promise<StageReport>;

	/** Rejects where the server gives no answer. */
	abstract checkHealth(server: BackendServer, path: string): Promise<Health>;
}
