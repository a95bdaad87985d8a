import {type RetryUrgency} from '../admission/retry-urgency.js';
import {type Route} from '../backends/stage.js';

/** Limits and callbacks for the recovery of a stream. */
export type StreamRecoveryOptions = {
	/** Number of layers of the model. */
	readonly layers: number;
	/** Milliseconds without a token after which the stages are inspected. */
	readonly stallTimeout: number;
	/** Milliseconds without a first token after which the stages are inspected. */
	readonly firstTokenTimeout: number;
	/** Milliseconds between tokens above which a stream that used to be faster is moved to other servers. */
	readonly slowTokenGap: number;
	/** Monotonic time in milliseconds by which the answer must be complete. */
	readonly deadline: number;
	/** Finds a route without the excluded servers that reuses stages of the previous route where possible; undefined if there is none. */
	readonly findRoute: (excluded: ReadonlySet<string>, previousRoute: Route, now: number) => Route | undefined;
	/** Random delay in milliseconds before the third and later attempts. It spreads out the retries of many streams. */
	readonly getRetryDelay: (attempt: number) => number;
	/** Takes one retry from the budget; returns false if the budget is exhausted for this urgency. */
	readonly tryAcquireRetry: (urgency: RetryUrgency) => boolean;
};
