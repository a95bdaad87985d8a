import {RequestKind} from './request-kind.js';

/** A service that receives a share of a route's requests. */
export type RouteTarget = {
	readonly service: string;
	/** The share of the requests, relative to the weights of the other targets. */
	readonly weight: number;
};

/** The requests of one host under one path prefix, and how they are handled. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RequestKind;
	/** Milliseconds from the arrival of a request to its final reply. */
	readonly timeout: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	/** Maximum number of backend servers on which one request may be executed. */
	readonly maxExecutions: number;
	/** Whether requests need no API key. */
	readonly isAnonymous: boolean;
	/** Whether a stream may resume on another backend server after its last event. */
	readonly isResumable: boolean;
	/** Milliseconds within which the first event of a stream, or the complete response, is on time. */
	readonly latencyTarget: number;
	/** Longest pause in milliseconds between the events of a stream that is on time; undefined if the configuration names none. */
	readonly eventGapTarget?: number;
	/** Milliseconds without an event after which callers abandon a stream. */
	readonly callerIdleTimeout: number;
};

/** Whether a request of the route may be executed more than once. */
export function isRepeatable(route: Route): boolean {
	return route.isResumable || route.kind === RequestKind.Idempotent;
}
