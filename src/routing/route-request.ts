import {type Route} from '../backends/stage.js';

/** What a route is wanted for. */
export type RouteRequest = {
	readonly service: string;
	readonly version: string;
	readonly layers: number;
	/** Ids of servers that must not be used. */
	readonly excluded: ReadonlySet<string>;
	/** Stages of an earlier route that are kept where they fit, since they hold the request's KV cache. */
	readonly previousRoute: Route;
	/** Monotonic time in milliseconds. */
	readonly now: number;
};
