/** Outcome of an attempt to start a queued request. */
export enum StartOutcome {
	Started = 'started',
	/** No pipeline has capacity for the request. */
	NoCapacity = 'no_capacity',
	/** None of the pipelines that the request may still use has capacity, which says nothing about other requests. */
	NoAllowedCapacity = 'no_allowed_capacity',
	/** The retry budget is exhausted, whatever the capacity. */
	NoRetry = 'no_retry',
}
