/** Bounds on what a caller may send, and on how long it may take. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	/** Milliseconds for the headers of a request to arrive. */
	readonly headerTimeout: number;
	/** Milliseconds that a connection may stay idle. */
	readonly idleTimeout: number;
};
