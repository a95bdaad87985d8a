import {Buffer} from 'node:buffer';

/** Size of a block in bytes. */
export const blockBytes = 65_536;
/** Free blocks that are kept; further ones are left to the garbage collector. */
const maxFreeBlocks = 128;

/** Reuses blocks of memory. The garbage collector frees the memory of buffers late, so that bodies that are received and refused in turn would occupy many times what they hold. */
export class BlockPool {
	private readonly free: Uint8Array[] = [];

	/** Returns a block, whose bytes have any value. */
	take(): Uint8Array {
		return this.free.pop() ?? Buffer.allocUnsafeSlow(blockBytes);
	}

	/** Takes blocks back that nothing uses any more. */
	give(blocks: readonly Uint8Array[]): void {
		for (const block of blocks) {
			if (block.length === blockBytes && this.free.length < maxFreeBlocks) {
				this.free.push(block);
			}
		}
	}
}
