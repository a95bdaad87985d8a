import {type BackendServer} from './backend-server.js';
import {type LayerRange} from './layer-range.js';

/** The state that a backend server reports on request. */
export type StageReport = {
	/** Step time relative to the usual one; above 1 the server is slow. */
	readonly slowdownFactor: number;
	/** Start of the process as Unix time in milliseconds; undefined if the server does not report it. */
	readonly startedAt?: number;
	/** Layers that are loaded; undefined where none are. */
	readonly range?: LayerRange;
	/** Number of orders accepted in this incarnation. */
	readonly acceptedOrders: number;
	/** Whether an order is in progress. */
	readonly isBusy: boolean;
	/** Requests of the server that wait for another stage: request id to the address of that stage. */
	readonly blockedRequests: ReadonlyMap<string, string>;
};

/** Result of a health check. */
export enum Health {
	Good = 'good',
	/** The server fails or is leaving. */
	Bad = 'bad',
	/** The server had no capacity to run the health check. */
	Busy = 'busy',
}

/** Queries the state of backend servers. */
export abstract class StageReporter {
	/** Rejects if the server does not answer. */
	abstract fetchReport(server: BackendServer): Promise<StageReport>;

	/** Rejects if the server does not answer. */
	abstract checkHealth(server: BackendServer, path: string): Promise<Health>;
}
