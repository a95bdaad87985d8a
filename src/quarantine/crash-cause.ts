/** A prompt part that is found to crash backend servers. */
export type CrashCause = {
	readonly part: string;
	/** Number of crashes, one after another, that the part explains. */
	readonly crashes: number;
};
