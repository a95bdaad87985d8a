/** An open stream of an attempt. */
export type AttemptHandle = {
	/** Closes the connection; the sink hears nothing more. */
	close(): void;
};
