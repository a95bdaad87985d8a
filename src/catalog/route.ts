import {RequestKind} from './request-kind.js';

/** A service that receives a part of a route's requests. */
export type RouteTarget = {
	readonly service: string;
	/** Its part, relative to the weights of the other targets. */
	readonly weight: number;
};

/** Requests of one host under one path prefix, and how they are treated. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RequestKind;
	/** Milliseconds from the arrival of a request to its final answer. */
	readonly timeout: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	/** The most backend servers on which one request may run. */
	readonly maxExecutions: number;
	/** Whether requests come without a key. */
	readonly isAnonymous: boolean;
	/** Whether a stream may go on at another backend server after its last event. */
	readonly isResumable: boolean;
	/** Milliseconds within which the first event or the answer is on time. */
	readonly latencyTarget: number;
	/** Milliseconds without an event after which callers leave a stream. */
	readonly callerIdleTimeout: number;
};

/** Whether a request of the route may run more than once. */
export function isRepeatable(route: Route): boolean {
	return route.isResumable || route.kind === RequestKind.Idempotent;
}
