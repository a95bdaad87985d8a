import {Buffer} from 'node:buffer';
import {blockBytes, type BlockPool} from './block-pool.js';

/** Size of the first block of a body whose length is not announced. */
const firstBlockBytes = 4096;

/** Collects the bytes of a body in blocks, so that it never occupies more than one block beyond what has arrived. */
export class BlockBuffer {
	private blocks: Uint8Array[] = [];
	/** Bytes of all blocks. */
	private allocated = 0;
	private used = 0;

	/**
	@param announced - bytes that were announced; undefined if the length is unknown
	*/
	constructor(private readonly pool: BlockPool, private readonly announced?: number) {}

	/** Number of collected bytes. */
	get length(): number {
		return this.used;
	}

	/** Bytes of memory that are occupied once a piece of a size has been added. */
	computeCapacity(pieceBytes: number): number {
		let capacity = this.allocated;
		while (capacity < this.used + pieceBytes) {
			capacity += this.computeBlockBytes(capacity);
		}

		return capacity;
	}

	/** Adds a copy of a piece. */
	append(piece: Uint8Array): void {
		let copied = 0;
		while (copied < piece.length) {
			if (this.used === this.allocated) {
				this.addBlock();
			}

			const block = this.blocks.at(-1)!;
			const offset = block.length - (this.allocated - this.used);
			const part = piece.subarray(copied, copied + block.length - offset);
			block.set(part, offset);
			copied += part.length;
			this.used += part.length;
		}
	}

	/** Returns the collected bytes, and removes them. */
	take(): Uint8Array {
		const {blocks, used} = this;
		const bytes = blocks.length === 1 && blocks[0].length < blockBytes ? blocks[0].subarray(0, used) : Buffer.concat(blocks, used);
		this.clear();
		return bytes;
	}

	/** Removes the collected bytes. */
	clear(): void {
		this.pool.give(this.blocks);
		this.blocks = [];
		this.allocated = 0;
		this.used = 0;
	}

	/** Size of the block that follows a number of bytes. A body of which little has arrived gets no large block, whatever was announced. */
	private computeBlockBytes(capacity: number): number {
		const size = Math.min(blockBytes, Math.max(firstBlockBytes, capacity));
		return this.announced === undefined || this.announced <= capacity ? size : Math.min(size, this.announced - capacity);
	}

	private addBlock(): void {
		const size = this.computeBlockBytes(this.allocated);
		this.blocks.push(size === blockBytes ? this.pool.take() : Buffer.allocUnsafeSlow(size));
		this.allocated += size;
	}
}
