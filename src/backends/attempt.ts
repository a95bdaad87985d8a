import {type Priority} from '../configuration/priority.js';
import {type Route} from './stage.js';

/** One try to run a request along a route. */
export type Attempt = {
	/** Id of the request. */
	readonly request: string;
	/** Rises by one with each try; late frames of earlier tries are dropped by it. */
	readonly number: number;
	readonly route: Route;
	readonly prompt: string;
	/** The tokens that the caller has already. */
	readonly generated: readonly string[];
	readonly maximumTokens: number;
	readonly priority: Priority;
	/** Trace context for the backend servers. */
	readonly headers: Readonly<Record<string, string>>;
};
