import {type ResponseHead} from './response-head.js';

/** Buffers a response until it is complete, so that another server can still be tried. */
export class ResponseBuffer {
	/** The head of the response; undefined until it is received. */
	head?: ResponseHead;
	private chunks: Uint8Array[] = [];
	private bytes = 0;

	/**
	@param maxBytes - bytes of the body that are buffered
	*/
	constructor(private readonly maxBytes: number) {}

	/** Whether the body is too large to be buffered. */
	get isFull(): boolean {
		return this.bytes > this.maxBytes;
	}

	/** Adds a part of the body. */
	add(chunk: Uint8Array): void {
		this.chunks.push(chunk);
		this.bytes += chunk.length;
	}

	/** Returns and removes the buffered parts of the body. */
	take(): readonly Uint8Array[] {
		return this.chunks.splice(0);
	}

	/** Drops the response, before another attempt. */
	clear(): void {
		this.head = undefined;
		this.chunks = [];
		this.bytes = 0;
	}
}
