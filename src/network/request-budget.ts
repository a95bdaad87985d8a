import {BodyProgress} from './body-progress.js';
import {RequestRefusal} from './request-refusal.js';

/** Fraction of the budget from which slow bodies are refused without being asked for their memory. */
const scarceFraction = 0.5;
/** Added to the age in milliseconds of each claim, so that the size of new ones counts too. */
const ageOffsetMs = 100;
/** Fraction of the budget that requests may use that were refused and wait for their replies to leave. */
const refusedFraction = 0.25;
/** Bodies in many small pieces that are received at a time. Whatever the size of its chunks, a single body is received. */
const maxFragmented = 2;

/** What a caller makes a process hold: the body of a request, its head, or input that was not parsed. */
export class MemoryClaim {
	/** Bytes of memory that are occupied. */
	bytes = 0;
	readonly progress: BodyProgress;

	/**
	@param startedAt - monotonic time in milliseconds
	@param refuse - called if the memory is needed, or the rate is too low
	@param options.isPaced - whether a low rate is a reason to refuse it
	@param options.isComplete - whether all of the request has arrived, so that it is not refused any more
	*/
	constructor(private readonly startedAt: number, readonly refuse: (refusal: RequestRefusal) => void, private readonly options: ClaimOptions = {}) {
		this.progress = new BodyProgress(startedAt);
	}

	/** Whether all of the request has arrived. */
	get isComplete(): boolean {
		return this.options.isComplete?.() ?? false;
	}

	/** Returns the memory multiplied by the time for which the request has been arriving. */
	computeCost(now: number): number {
		return this.bytes * (now - this.startedAt + ageOffsetMs);
	}

	/** Whether it arrives below the minimum rate. */
	isSlow(now: number): boolean {
		return (this.options.isPaced ?? true) && this.progress.isSlow(now);
	}

	/** Whether nothing of it has arrived for a long time. */
	isStalled(now: number): boolean {
		return (this.options.isPaced ?? true) && this.progress.isStalled(now);
	}
}

/** How a claim differs from that of a body. */
type ClaimOptions = {
	readonly isPaced?: boolean;
	readonly isComplete?: () => boolean;
};

/** A claim that is to be refused, and why. */
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

/** Shares a number of bytes among the requests of a process, and decides which of them to refuse. Requests that are complete keep their share until they are released. Times are monotonic, in milliseconds. */
export class RequestBudget {
	private readonly receiving = new Set<MemoryClaim>();
	private readonly complete = new Set<MemoryClaim>();
	/** Claims of requests that were refused and whose connections have not closed. */
	private readonly refused = new Set<MemoryClaim>();
	private used = 0;
	private refusedBytes = 0;

	/**
	@param capacity - bytes for all requests
	*/
	constructor(readonly capacity: number) {}

	/** Bytes of memory that all requests occupy. */
	get usedBytes(): number {
		return this.used;
	}

	/** Whether so much is used that slow requests are refused. */
	get isScarce(): boolean {
		return this.used > this.capacity * scarceFraction;
	}

	/** Whether a request that is refused may keep its memory until its reply has left. */
	get mayReply(): boolean {
		return this.refusedBytes <= this.capacity * refusedFraction;
	}

	/** Number of claims of requests that are being received. */
	get receivingClaims(): number {
		return this.receiving.size;
	}

	/** Adds a claim, which occupies nothing yet. */
	add(claim: MemoryClaim): void {
		this.receiving.add(claim);
	}

	/** Changes the memory that a claim occupies. Returns the claims that have to be refused, and released, for it; perhaps itself. */
	resize(claim: MemoryClaim, bytes: number, now: number): readonly RequestDecision[] {
		if (!this.receiving.has(claim) && !this.complete.has(claim)) {
			return [];
		}

		this.used += bytes - claim.bytes;
		claim.bytes = bytes;
		const decisions: RequestDecision[] = [];
		let excess = this.used - this.refusedBytes - this.capacity;
		const candidates = new Set(excess > 0 ? this.findReceiving() : []);
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
		const {isScarce} = this;
		return this.findReceiving().filter(claim => claim.isStalled(now) || (isScarce && claim.isSlow(now)))
			.map(claim => ({claim, refusal: claim.isStalled(now) ? RequestRefusal.Stalled : RequestRefusal.Slow}));
	}

	/** Records that a request has been received. It can't be refused for memory any more. */
	finish(claim: MemoryClaim): void {
		if (this.receiving.delete(claim)) {
			this.complete.add(claim);
		}
	}

	/** Records that a request was refused. Its memory is used until the claim is released, but is no reason to refuse others. */
	refuse(claim: MemoryClaim): void {
		if (this.receiving.delete(claim)) {
			this.refused.add(claim);
			this.refusedBytes += claim.bytes;
		}
	}

	/** Returns the memory of a claim to the budget. */
	release(claim: MemoryClaim): void {
		const wasRefused = this.refused.delete(claim);
		this.refusedBytes -= wasRefused ? claim.bytes : 0;
		if (wasRefused || this.receiving.delete(claim) || this.complete.delete(claim)) {
			this.used -= claim.bytes;
			claim.bytes = 0;
		}
	}

	/** Returns the claims of requests that have not arrived completely. */
	private findReceiving(): readonly MemoryClaim[] {
		const claims = [...this.receiving];
		for (const claim of claims) {
			if (claim.isComplete) {
				this.finish(claim);
			}
		}

		return claims.filter(claim => this.receiving.has(claim));
	}

	/** Chooses the slowest of the slow claims, or where none is slow the one that has occupied most memory for the longest time: ordinary requests arrive within a short time. */
	private chooseForMemory(candidates: ReadonlySet<MemoryClaim>, now: number): RequestDecision {
		const slow = [...candidates].filter(claim => claim.bytes > 0 && claim.isSlow(now));
		if (slow.length > 0) {
			return {claim: findGreatest(slow, ({progress}) => -progress.getRecentBytes(now)), refusal: RequestRefusal.Slow};
		}

		return {claim: findGreatest([...candidates], claim => claim.computeCost(now)), refusal: RequestRefusal.Memory};
	}
}
