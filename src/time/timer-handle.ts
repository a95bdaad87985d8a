/** A pending call of the timer service. */
export type TimerHandle = {
	/** Ends the subscription; harmless when it has ended already. */
	cancel(): void;
};
