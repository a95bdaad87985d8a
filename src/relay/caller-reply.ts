import {type Failure} from '../results/failure.js';

/** The reply to a caller, independent of the transport. */
export abstract class CallerReply {
	/** Whether the caller has closed its connection. */
	abstract get isGone(): boolean;

	/** Whether the head has been sent. */
	abstract get isStarted(): boolean;

	/** Sends the status and the headers, as alternating names and values. Without a length among them, the transport marks where the body ends, so that a reply that is aborted does not look complete. */
	abstract begin(status: number, headers: readonly string[]): void;

	/**
	Sends a part of the body.

	@returns false if the caller reads too slowly; `onDrain` signals when more can be written
	*/
	abstract write(bytes: Uint8Array): boolean;

	/** Completes the reply. */
	abstract end(): void;

	/** Closes the connection, so that the caller can't take the reply for complete. */
	abstract abort(): void;

	/** Replies with a refusal or failure of this instance. */
	abstract fail(failure: Failure): void;

	/** Calls the listener once if the caller closes its connection before the reply is complete. */
	abstract onGone(listener: () => void): void;

	/** Calls the listener each time the caller can accept more data. */
	abstract onDrain(listener: () => void): void;
}
