import {type Failure} from '../results/failure.js';

/** Where the answer to a caller goes. */
export abstract class CallerReply {
	/** Whether the caller has closed its connection. */
	abstract get isGone(): boolean;

	/** Whether the head has been sent. */
	abstract get isStarted(): boolean;

	/**
	Sends status and headers, names and values in turn.

	@param isFramed - whether the answer tells where its body ends; otherwise it ends with the connection
	*/
	abstract begin(status: number, headers: readonly string[], isFramed: boolean): void;

	/**
	Sends a part of the body.

	@returns false while the caller does not keep up; `onDrain` tells when it does again
	*/
	abstract write(bytes: Uint8Array): boolean;

	/** The answer is whole. */
	abstract end(): void;

	/** Breaks the answer off so that it cannot look whole. */
	abstract abort(): void;

	/** Answers with a refusal or failure of our own. */
	abstract fail(failure: Failure): void;

	/** Calls once when the caller has closed its connection before the answer was whole. */
	abstract onGone(listener: () => void): void;

	/** Calls each time the caller can take more. */
	abstract onDrain(listener: () => void): void;
}
