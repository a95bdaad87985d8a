/** What a result code means to callers and to the command line. */
export type ResultDescription = {
	/** HTTP status of a refusal with this code. */
	readonly status: number;
	/** Process exit code of the command line and the daemon. */
	readonly exitCode: number;
	/** One sentence in plain English. */
	readonly meaning: string;
	/** Default delay before a repeated request makes sense, in seconds; undefined where repeating is pointless. */
	readonly retryAfterSeconds?: number;
};
