/** A pending call of the timer service. */
export type Subscription = {
	/** Ends the subscription; harmless when it has ended already. */
	cancel(): void;
};
