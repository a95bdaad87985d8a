import {Buffer} from 'node:buffer';

/** Size of the first block. */
const minBlockBytes = 256;

/** Collects bytes in one block of memory. An array of the received pieces would cost many times their size if they are small, and keep the memory of the reads that they are parts of. */
export class ByteBuffer {
	private block: Uint8Array = new Uint8Array(0);
	private used = 0;

	/** Number of collected bytes. */
	get length(): number {
		return this.used;
	}

	/** The collected bytes; not to be kept beyond the next call of `append`. */
	get bytes(): Uint8Array {
		return this.block.subarray(0, this.used);
	}

	/** Adds a copy of a piece. */
	append(piece: Uint8Array): void {
		const length = this.used + piece.length;
		if (length > this.block.length) {
			const larger = Buffer.allocUnsafe(Math.max(minBlockBytes, length, this.block.length * 2));
			larger.set(this.bytes);
			this.block = larger;
		}

		this.block.set(piece, this.used);
		this.used = length;
	}

	/** Returns and removes the collected bytes. */
	take(): Uint8Array {
		const {bytes} = this;
		this.block = new Uint8Array(0);
		this.used = 0;
		return bytes;
	}
}
