import {PieceLimit} from './piece-limit.js';

/** Time in milliseconds over which the rate of a body is observed. */
const windowMs = 4000;
/** Age in milliseconds up to which a body is not slow. */
const graceMs = 3000;
/** Bytes per second below which a body is slow. */
const minRate = 2000;
/** Time in milliseconds without a byte from which a body has stalled. */
const stallMs = 10_000;
const millisecondsPerSecond = 1000;

/** How a body arrives. Times are monotonic, in milliseconds. */
export class BodyProgress {
	/** Number of pieces that were received. */
	pieces = 0;
	private readonly pieceLimit = new PieceLimit();
	private arrivedAt: number;
	private windowStart: number;
	private windowBytes = 0;
	private previousBytes = 0;

	constructor(private readonly startedAt: number) {
		this.arrivedAt = startedAt;
		this.windowStart = startedAt;
	}

	/** Whether the body arrives in more pieces than one of its size needs. */
	get isFragmented(): boolean {
		return this.pieceLimit.isExceeded;
	}

	/** Records a piece. */
	add(bytes: number, now: number): void {
		this.advance(now);
		this.arrivedAt = now;
		this.windowBytes += bytes;
		this.pieces++;
		this.pieceLimit.add(bytes);
	}

	/** Returns the bytes that arrived in the last seconds. */
	getRecentBytes(now: number): number {
		this.advance(now);
		return this.windowBytes + this.previousBytes;
	}

	/** Whether nothing has arrived for a long time. */
	isStalled(now: number): boolean {
		return now - this.arrivedAt >= stallMs;
	}

	/** Whether the body arrives below the minimum rate. */
	isSlow(now: number): boolean {
		return now - this.startedAt >= graceMs && this.getRecentBytes(now) < minRate * Math.min(windowMs, now - this.startedAt) / millisecondsPerSecond;
	}

	private advance(now: number): void {
		const windows = Math.floor((now - this.windowStart) / windowMs);
		if (windows > 0) {
			this.previousBytes = windows === 1 ? this.windowBytes : 0;
			this.windowBytes = 0;
			this.windowStart += windows * windowMs;
		}
	}
}
