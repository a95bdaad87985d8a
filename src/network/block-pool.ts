import {Buffer} from 'node:buffer';

/** Size of a block in bytes. */
export const blockBytes = 65_536;
/** Reuses blocks of memory. The garbage collector frees the memory of buffers late, so that bodies that are received and refused in turn would occupy many times what they hold. */
export class BlockPool {
	private readonly free: Uint8Array[] = [];
	/** Blocks that are in use. */
	private used = 0;
	private readonly maxBlocks: number;

	/**
	@param capacity - bytes of all blocks, used and free, up to which free ones are kept; further ones are left to the garbage collector
	*/
	constructor(capacity: number) {
		this.maxBlocks = Math.floor(capacity / blockBytes);
	}

	/** Returns a block, whose bytes have any value. */
	take(): Uint8Array {
		this.used++;
		return this.free.pop() ?? Buffer.allocUnsafeSlow(blockBytes);
	}

	/** Takes blocks back that nothing uses any more. */
	give(blocks: readonly Uint8Array[]): void {
		for (const block of blocks) {
			if (block.length === blockBytes) {
				this.used--;
				if (this.used + this.free.length < this.maxBlocks) {
					this.free.push(block);
				}
			}
		}
	}
}
