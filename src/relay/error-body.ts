import {ByteBuffer} from '../network/byte-buffer.js';

/** Longest body of an error response that is passed on. */
const maxBytes = 65_536;

/** The buffered body of an error response. */
export class ErrorBody {
	private readonly body = new ByteBuffer();

	/** The bytes received so far. */
	get bytes(): Uint8Array {
		return this.body.bytes;
	}

	/** Whether the body is longer than what is passed on. */
	get isOversized(): boolean {
		return this.body.length > maxBytes;
	}

	/** Adds a part of the body. */
	add(chunk: Uint8Array): void {
		this.body.append(chunk);
	}
}
