import {type CrashHistoryOptions} from './crash-history.js';

/** Options of a crash analysis. */
export type CrashAnalysisOptions = CrashHistoryOptions & {
	/** Number of crashes that a part, one after another, or a request must explain to be found a cause. */
	readonly minCrashes: number;
	/** Milliseconds for which a part or request that made progress is remembered as cleared. */
	readonly clearedMemory: number;
	/** Number of parts that are remembered as cleared. */
	readonly maxClearedParts: number;
	/** Number of requests that are remembered as cleared. */
	readonly maxClearedRequests: number;
	/** Number of parts, and of requests, that are remembered as causes. */
	readonly maxCauses: number;
};
