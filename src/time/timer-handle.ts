/** Handle of a scheduled call or of periodic calls. */
export type TimerHandle = {
	/** Cancels the calls; has no effect if they are over or were cancelled already. */
	cancel(): void;
};
