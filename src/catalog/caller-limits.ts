/** Limits on the size and timing of callers' requests. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	/** Milliseconds for the headers of a request to arrive. */
	readonly headerTimeout: number;
	/** Milliseconds that a connection may stay idle. */
	readonly idleTimeout: number;
};
