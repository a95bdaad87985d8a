/** A prompt part or request that is found to crash backend servers. */
export type CrashCause = {
	readonly part: string;
	/** Number of crashes, one after another, that the part explains. */
	readonly crashes: number;
};
