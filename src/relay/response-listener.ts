import {type AttemptFailure} from './attempt-failure.js';
import {type ResponseHead} from './response-head.js';

/** Receives what comes of one attempt. After `ended` or `failed` nothing follows. */
export abstract class ResponseListener {
	/** The head of the answer. */
	abstract onHead(reply: ResponseHead): void;

	/** A part of the body. */
	abstract onData(chunk: Uint8Array): void;

	/** The answer is whole. */
	abstract onEnd(): void;

	/** No whole answer comes. */
	abstract onFailure(failure: AttemptFailure): void;
}
