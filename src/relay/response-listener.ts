import {type AttemptFailure} from './attempt-failure.js';
import {type ResponseHead} from './response-head.js';

/** Receives the events of one attempt. `onEnd` or `onFailure` is the last call. */
export abstract class ResponseListener {
	/** Receives the head of the response. */
	abstract onHead(head: ResponseHead): void;

	/** Receives a part of the body. */
	abstract onData(chunk: Uint8Array): void;

	/** Called when the response is complete. */
	abstract onEnd(): void;

	/** Called when the attempt ends without a complete response. */
	abstract onFailure(failure: AttemptFailure): void;
}
