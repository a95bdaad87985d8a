/** How the observation of an answer ended. */
export enum ObservationEnd {
	/** The answer was complete. */
	Complete,
	/** The answer reached the caller's bound: it would have been at least as long without it. */
	Bounded,
	/** The answer was cut, cancelled, or its caller left. */
	Lost,
}
