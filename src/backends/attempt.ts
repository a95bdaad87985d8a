import {type Priority} from '../configuration/priority.js';
import {type Route} from './stage.js';

/** One attempt to run a request along a route. */
export type Attempt = {
	/** Id of the request. */
	readonly request: string;
	/** Number of the attempt, incremented by one each time. Late frames of earlier attempts are recognized by it and dropped. */
	readonly number: number;
	readonly route: Route;
	readonly prompt: string;
	/** Tokens already delivered to the caller. */
	readonly generated: readonly string[];
	readonly maximumTokens: number;
	readonly priority: Priority;
	/** Headers that pass the trace context to the backend servers. */
	readonly headers: Readonly<Record<string, string>>;
};
