import {type MemoryClaim} from './request-budget.js';

/** Bytes up to which the input of a connection is not counted: what is between two slices of an ordinary head. */
const freeBytes = 4096;

/** The operations on a budget that the memory of input needs. */
export type InputMemoryDependencies = {
	readonly create: () => MemoryClaim;
	readonly resize: (claim: MemoryClaim, bytes: number) => void;
	readonly release: (claim: MemoryClaim) => void;
};

/** The memory of the input of one connection that is neither a request nor a part of a body. */
export class InputMemory {
	private claim?: MemoryClaim;

	constructor(private readonly dependencies: InputMemoryDependencies) {}

	/** Records the memory in bytes that the input occupies now. */
	set(bytes: number): void {
		if (bytes > freeBytes) {
			this.claim ??= this.dependencies.create();
			this.dependencies.resize(this.claim, bytes);
		} else {
			this.release();
		}
	}

	/** Returns the memory to the budget. */
	release(): void {
		if (this.claim) {
			this.dependencies.release(this.claim);
			this.claim = undefined;
		}
	}
}
