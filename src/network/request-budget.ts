import {BodyProgress} from './body-progress.js';
import {RequestRefusal} from './request-refusal.js';

/** Fraction of the budget from which slow bodies are refused without being asked for their memory. */
const scarceFraction = 0.5;
/** Bodies in many small pieces that are received at a time. Whatever the size of its chunks, a single body is received. */
const maxFragmented = 2;

/** A body of a request, from its first byte until the exchange of the request ends. */
export class MemoryClaim {
	/** Bytes of memory that the body occupies. */
	bytes = 0;
	readonly progress: BodyProgress;

	constructor(startedAt: number, readonly refuse: (refusal: RequestRefusal) => void) {
		this.progress = new BodyProgress(startedAt);
	}
}

/** A body that is to be refused, and why. */
export type RequestDecision = {
	readonly claim: MemoryClaim;
	readonly refusal: RequestRefusal;
};

/** Returns the first of those claims, of which there is one at least, that have the greatest value. */
function findGreatest(claims: readonly MemoryClaim[], getValue: (claim: MemoryClaim) => number): MemoryClaim {
	let greatest = claims[0];
	for (const claim of claims) {
		if (getValue(claim) > getValue(greatest)) {
			greatest = claim;
		}
	}

	return greatest;
}

/** Shares a number of bytes among the bodies of all requests of a process, and decides which bodies to refuse. Bodies that are complete keep their share until they are released. Times are monotonic, in milliseconds. */
export class RequestBudget {
	private readonly receiving = new Set<MemoryClaim>();
	private readonly complete = new Set<MemoryClaim>();
	private used = 0;

	/**
	@param capacity - bytes for all bodies
	*/
	constructor(readonly capacity: number) {}

	/** Bytes of memory that all bodies occupy. */
	get usedBytes(): number {
		return this.used;
	}

	/** Number of bodies that are being received. */
	get receivingBodies(): number {
		return this.receiving.size;
	}

	/** Adds a body that is about to be received. */
	add(claim: MemoryClaim): void {
		this.receiving.add(claim);
	}

	/** Changes the memory that a body occupies. Returns the bodies that have to be refused, and released, for it; perhaps itself. */
	resize(claim: MemoryClaim, bytes: number, now: number): readonly RequestDecision[] {
		if (!this.receiving.has(claim) && !this.complete.has(claim)) {
			return [];
		}

		this.used += bytes - claim.bytes;
		claim.bytes = bytes;
		const decisions: RequestDecision[] = [];
		let excess = this.used - this.capacity;
		const candidates = new Set(excess > 0 ? this.receiving : []);
		while (excess > 0 && candidates.size > 0) {
			const decision = this.chooseForMemory(candidates, now);
			candidates.delete(decision.claim);
			excess -= decision.claim.bytes;
			decisions.push(decision);
		}

		return decisions;
	}

	/** Returns the body that has to be refused because too many arrive in many small pieces; undefined if none. */
	findExcessPieces(): RequestDecision | undefined {
		const fragmented = [...this.receiving].filter(({progress}) => progress.isFragmented);
		if (fragmented.length <= maxFragmented) {
			return undefined;
		}

		return {claim: findGreatest(fragmented, ({progress}) => progress.pieces), refusal: RequestRefusal.Pieces};
	}

	/** Returns the bodies that have stalled, and those that are slow while memory is scarce. */
	findSlow(now: number): readonly RequestDecision[] {
		const isScarce = this.used > this.capacity * scarceFraction;
		return [...this.receiving].filter(({progress}) => progress.isStalled(now) || (isScarce && progress.isSlow(now)))
			.map(claim => ({claim, refusal: claim.progress.isStalled(now) ? RequestRefusal.Stalled : RequestRefusal.Slow}));
	}

	/** Records that a body has been received. It can't be refused for memory any more. */
	finish(claim: MemoryClaim): void {
		if (this.receiving.delete(claim)) {
			this.complete.add(claim);
		}
	}

	/** Returns the memory of a body to the budget. */
	release(claim: MemoryClaim): void {
		if (this.receiving.delete(claim) || this.complete.delete(claim)) {
			this.used -= claim.bytes;
			claim.bytes = 0;
		}
	}

	/** Chooses the slowest of the slow bodies, or the largest body where none is slow. */
	private chooseForMemory(candidates: ReadonlySet<MemoryClaim>, now: number): RequestDecision {
		const slow = [...candidates].filter(({progress, bytes}) => bytes > 0 && progress.isSlow(now));
		if (slow.length > 0) {
			return {claim: findGreatest(slow, ({progress}) => -progress.getRecentBytes(now)), refusal: RequestRefusal.Slow};
		}

		return {claim: findGreatest([...candidates], ({bytes}) => bytes), refusal: RequestRefusal.Memory};
	}
}
