/** How the requests of a route may be executed and answered. */
export enum RequestKind {
	/** May be executed any number of times. */
	Idempotent = 'idempotent',
	/** May be executed at most once. */
	NonIdempotent = 'non_idempotent',
	/** Answered with a stream of numbered events. */
	Streaming = 'streaming',
}
