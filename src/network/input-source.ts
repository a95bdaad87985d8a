/** A connection as its input is scheduled. */
export abstract class InputSource {
	/** Held bytes that the scheduler has counted. */
	countedBytes = 0;

	/** Bytes that have arrived and were not parsed. */
	abstract get heldBytes(): number;

	/** Whether held bytes can be parsed now. */
	abstract get isReady(): boolean;

	/** Work that the connection has caused since its last complete request. */
	abstract get work(): number;

	/** Whether a request of the connection has arrived completely. */
	abstract get hasCompleted(): boolean;

	/** Whether anything has arrived on the connection. */
	abstract get hasBegun(): boolean;

	/** Parses the next slice of the held bytes; returns the work of it. */
	abstract advance(): number;

	/** Reads no further bytes from the connection. */
	abstract stopReading(): void;

	/** Reads from the connection again. */
	abstract startReading(): void;

	/** Counts the held bytes as memory of the connection while they can't be parsed, or no longer. */
	abstract setBlocked(isBlocked: boolean): void;
}
