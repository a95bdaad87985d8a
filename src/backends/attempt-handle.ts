/** Handle of an open stream of an attempt. */
export type AttemptHandle = {
	/** Closes the connection. The sink is not called afterwards. */
	close(): void;
};
