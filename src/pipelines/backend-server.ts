import {type LayerRange} from './layer-range.js';

/** An entry of the server list: one incarnation of a backend server, that is, one run of its process. */
export type BackendServer = {
	/** Usually unique to one incarnation, but a restarted process may reuse it. */
	readonly id: string;
	/** IP address and port. */
	readonly address: string;
	readonly service: string;
	readonly availabilityZone: string;
	readonly isLeaving: boolean;
	/** Start of the process as Unix time in milliseconds. Distinguishes two incarnations that share an id. */
	readonly startedAt: number;
	/** Number of requests that the server runs concurrently. */
	readonly slots: number;
	/** Name of its accelerator type; empty for a plain service. */
	readonly card: string;
	/** Layers that are loaded; undefined where none are. */
	readonly range?: LayerRange;
};

/** Returns a key that identifies one incarnation of a backend server. */
export function getIncarnationId(server: BackendServer): string {
	return `${server.id}@${server.startedAt}`;
}
