/** Options of a crash analysis. */
export type CrashAnalysisOptions = {
	/** Number of crashes, one after another, that a part must explain to be accused. */
	readonly minCrashes: number;
	/** Milliseconds for which a part that made progress is remembered as sound. */
	readonly soundMemory: number;
	/** Milliseconds for which a crash is held. */
	readonly crashMemory: number;
	/** Number of parts that are remembered as sound. */
	readonly maxSoundParts: number;
	/** Number of crashes that are held. */
	readonly maxCrashes: number;
	/** Number of suspects that are held of each crash. */
	readonly maxSuspects: number;
	/** Number of accused parts that are remembered. */
	readonly maxAccused: number;
};
