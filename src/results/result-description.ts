/** What a result code means to callers and to the command line. */
export type ResultDescription = {
	/** HTTP status of a reply with this code. */
	readonly status: number;
	/** Process exit code of the command line and the daemon. */
	readonly exitCode: number;
	/** One sentence in plain English. */
	readonly meaning: string;
	/** Default delay before a retry, in seconds; undefined if a retry is pointless. */
	readonly retryAfterSeconds?: number;
};
