import {type Route} from '../backends/stage.js';

/** What the recovery of a stream needs to know. */
export type StreamRecoveryOptions = {
	/** Number of layers of the model. */
	readonly layers: number;
	/** Milliseconds without a token after which the stages are inspected. */
	readonly stall: number;
	/** Milliseconds for the first token before the stages are inspected. */
	readonly firstStall: number;
	/** Milliseconds between tokens above which a stream that was faster is moved. */
	readonly slowTokenGap: number;
	/** Monotonic time in milliseconds. */
	readonly deadline: number;
	/** Finds a route without the excluded servers, keeping stages of another where they fit. */
	readonly findRoute: (excluded: ReadonlySet<string>, kept: Route, now: number) => Route | undefined;
	/** Milliseconds to wait before an attempt after the first two, so that retries of many streams spread; random. */
	readonly getRetryDelay: (attempt: number) => number;
	/** Takes one retry out of the budget; false where it is spent. */
	readonly tryAcquireRetry: () => boolean;
};
