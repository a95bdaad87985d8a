import {type Route} from '../backends/stage.js';

/** Requirements for a route. */
export type RouteRequest = {
	readonly service: string;
	readonly version: string;
	readonly layers: number;
	/** Ids of servers that must not be used. */
	readonly excluded: ReadonlySet<string>;
	/** Earlier route of the request. Its stages are reused where possible, because they hold the request's KV cache. */
	readonly previousRoute: Route;
	/** Monotonic time in milliseconds. */
	readonly now: number;
};
