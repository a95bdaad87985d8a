/** What a response is whose body has ended. */
export enum StreamEnd {
	/** The server did not execute the request. */
	Rejected = 'rejected',
	/** The response is not a signed stream. */
	Error = 'error',
	/** The stream ended within an event, or before the events that the caller is missing. */
	Incomplete = 'incomplete',
	/** The stream has no event, and only the end of its connection shows that it ended. */
	Empty = 'empty',
	/** Nothing is known to be missing. */
	Complete = 'complete',
}
