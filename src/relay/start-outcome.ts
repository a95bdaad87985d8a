/** Outcome of an attempt to start a queued request. */
export enum StartOutcome {
	Started = 'started',
	/** No pipeline has capacity for the request. */
	NoCapacity = 'no_capacity',
	/** None of the pipelines that the request may still use has capacity, which says nothing about other requests. */
	NoAllowedCapacity = 'no_allowed_capacity',
	/** No pipeline has capacity beside what is reserved for more urgent requests. */
	CapacityReserved = 'capacity_reserved',
	/** A more urgent request waits at another instance, and the capacity is left to it. */
	UrgentElsewhere = 'urgent_elsewhere',
	/** A full stage rejected the request, and another one is likely to do so, so that no retry is spent yet. */
	CapacityUnlikely = 'capacity_unlikely',
	/** The retry budget is exhausted, whatever the capacity. */
	NoRetry = 'no_retry',
}
