import {type LayerRange} from './layer-range.js';

/** What the list says of one life of a backend server. */
export type BackendServer = {
	/** Unique to a life of the process, in most cases. */
	readonly id: string;
	/** IP address and port. */
	readonly address: string;
	readonly service: string;
	readonly availabilityZone: string;
	readonly isLeaving: boolean;
	/** Unix time in milliseconds of its start. Two lives under one id differ in it. */
	readonly startedAt: number;
	/** Requests that it runs at once. */
	readonly slots: number;
	/** Name of its kind of accelerator; empty for a plain service. */
	readonly card: string;
	/** Layers that it holds; undefined where it holds none. */
	readonly range?: LayerRange;
};

/** Identifies one life of a backend server. */
export function getIncarnationId(server: BackendServer): string {
	return `${server.id}@${server.startedAt}`;
}
