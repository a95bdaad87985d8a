import {type IncomingMessage} from 'node:http';
import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {BlockBuffer} from './block-buffer.js';
import {type RequestBudget, MemoryClaim, type RequestDecision} from './request-budget.js';
import {type BlockPool} from './block-pool.js';
import {type RequestMemory} from './request-memory.js';
import {RequestRefusal} from './request-refusal.js';

/** What the reception of a body depends on. */
export type BodyReceptionDependencies = {
	readonly budget: RequestBudget;
	readonly pool: BlockPool;
	/** The memory of the request without its body. */
	readonly memory: RequestMemory;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** Refuses the bodies of decisions. */
	readonly apply: (decisions: readonly RequestDecision[]) => void;
};

const statements: Readonly<Record<RequestRefusal, string>> = {
	[RequestRefusal.Stalled]: 'nothing of the request body arrived for too long',
	[RequestRefusal.Slow]: 'the request body arrives too slowly while memory is short',
	[RequestRefusal.Memory]: 'the memory for requests is used up',
	[RequestRefusal.Pieces]: 'too many request bodies arrive in very small pieces',
};

function createFailure(refusal: RequestRefusal): Failure {
	const isSlow = refusal === RequestRefusal.Stalled || refusal === RequestRefusal.Slow;
	return new Failure(isSlow ? ResultCode.BodyTooSlow : ResultCode.BodyMemoryShort, statements[refusal], Execution.NotRun);
}

/** Receives the body of one request within the budget of the process. */
export class BodyReception {
	private readonly buffer: BlockBuffer;
	private readonly claim: MemoryClaim;
	private isFragmented = false;
	/** Rejects the reading in progress; undefined if there is none. */
	private reject?: (failure: Failure) => void;
	private readonly announced?: number;

	/**
	@param findLimit - returns the largest body in bytes, which a configuration may change while the body arrives
	*/
	constructor(private readonly message: IncomingMessage, private readonly findLimit: () => number, private readonly dependencies: BodyReceptionDependencies) {
		const header = message.headers['content-length'];
		this.announced = header === undefined ? undefined : Number(header);
		this.buffer = new BlockBuffer(dependencies.pool, this.announced);
		this.claim = new MemoryClaim(dependencies.now(), refusal => {
			this.refuse(refusal);
		});
	}

	/**
	Receives the body. It counts until the reception is ended.

	@throws Failure BodyTooLarge, BodyTooSlow, BodyMemoryShort, or CallerGone if the connection is lost
	*/
	async read(): Promise<Uint8Array> {
		const {message, announced, dependencies, claim} = this;
		if (announced !== undefined && announced > this.findLimit()) {
			throw this.createTooLarge();
		}

		if (dependencies.memory.refusedFor !== undefined) {
			throw createFailure(dependencies.memory.refusedFor);
		}

		dependencies.budget.add(claim);
		return new Promise((resolve, reject) => {
			const lose = () => {
				this.lose();
			};

			this.reject = reject;
			if (message.destroyed) {
				lose();
				return;
			}

			message.on('data', (piece: Uint8Array) => {
				this.add(piece);
			});
			message.once('error', lose);
			message.once('close', lose);
			message.once('end', () => {
				if (this.reject) {
					const bytes = this.take();
					if (bytes !== undefined) {
						resolve(bytes);
					}
				}
			});
		});
	}

	/** Refuses the body. */
	refuse(refusal: RequestRefusal): void {
		this.fail(createFailure(refusal));
	}

	/** Counts a number of bytes for what was made of the body. */
	hold(bytes: number): void {
		this.dependencies.apply(this.dependencies.budget.resize(this.claim, bytes, this.dependencies.now()));
	}

	/** Ends the reception, or the use of the body, because the connection has closed. A reading in progress is rejected, since nothing else would end it before its deadline. */
	lose(): void {
		this.fail(new Failure(ResultCode.CallerGone, 'the request body was not received', Execution.NotRun));
	}

	/** Ends the reception, or the use of the body. */
	end(): void {
		this.reject = undefined;
		this.buffer.clear();
		this.dependencies.budget.release(this.claim);
	}

	private add(piece: Uint8Array): void {
		if (!this.reject) {
			return;
		}

		const {buffer, claim, dependencies} = this;
		if (buffer.length + piece.length > this.findLimit()) {
			this.fail(this.createTooLarge());
			return;
		}

		claim.progress.add(piece.length, dependencies.now());
		if (!this.isFragmented && claim.progress.isFragmented) {
			this.isFragmented = true;
			const decision = dependencies.budget.findExcessPieces();
			dependencies.apply(decision ? [decision] : []);
		}

		const capacity = buffer.computeCapacity(piece.length);
		if (capacity > claim.bytes) {
			this.hold(capacity);
		}

		if (this.isReading) {
			buffer.append(piece);
		}
	}

	/** Returns the complete body; undefined if there is no memory to join its blocks. */
	private take(): Uint8Array | undefined {
		const {length} = this.buffer;
		this.hold(this.claim.bytes + length);
		if (!this.isReading) {
			return undefined;
		}

		this.reject = undefined;
		this.dependencies.budget.finish(this.claim);
		const bytes = this.buffer.take();
		this.hold(bytes.length);
		return bytes;
	}

	/** Whether the body has been neither refused nor received. */
	private get isReading(): boolean {
		return this.reject !== undefined;
	}

	private createTooLarge(): Failure {
		return new Failure(ResultCode.BodyTooLarge, `the request body exceeds ${this.findLimit()} bytes`, Execution.NotRun);
	}

	private fail(failure: Failure): void {
		const {reject} = this;
		this.end();
		reject?.(failure);
	}
}
