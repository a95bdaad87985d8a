/** What a route allows to be done with its requests. */
export enum RequestKind {
	/** May run any number of times. */
	Idempotent = 'idempotent',
	/** May run once at most. */
	NonIdempotent = 'non_idempotent',
	/** Answered by a stream of numbered events. */
	Streaming = 'streaming',
}
