import {type CrashHistoryOptions} from './crash-history.js';

/** Options of a crash analysis. */
export type CrashAnalysisOptions = CrashHistoryOptions & {
	/** Number of crashes that a part, one after another, or a request must explain to be accused. */
	readonly minCrashes: number;
	/** Milliseconds for which a part or request that made progress is remembered as sound. */
	readonly soundMemory: number;
	/** Number of parts that are remembered as sound. */
	readonly maxSoundParts: number;
	/** Number of requests that are remembered as sound. */
	readonly maxSoundRequests: number;
	/** Number of accused parts, and of accused requests, that are remembered. */
	readonly maxAccused: number;
};
