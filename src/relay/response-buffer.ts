import {ByteBuffer} from '../network/byte-buffer.js';
import {type ResponseHead} from './response-head.js';

/** Buffers a response until it is complete, so that another server can still be tried. */
export class ResponseBuffer {
	/** The head of the response; undefined until it is received. */
	head?: ResponseHead;
	private readonly body = new ByteBuffer();

	/**
	@param maxBytes - bytes of the body that are buffered
	*/
	constructor(private readonly maxBytes: number) {}

	/** Whether the body is too large to be buffered. */
	get isFull(): boolean {
		return this.body.length > this.maxBytes;
	}

	/** Adds a part of the body. */
	add(chunk: Uint8Array): void {
		this.body.append(chunk);
	}

	/** Returns and removes the buffered part of the body. */
	take(): Uint8Array {
		return this.body.take();
	}
}
