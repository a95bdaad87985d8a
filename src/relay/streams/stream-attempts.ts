import {type BackendServer} from '../../pipelines/backend-server.js';
import {type Pipeline} from '../../pipelines/pipeline.js';
import {type StreamAttempt} from './stream-attempt.js';
import {type StreamLog} from './stream-log.js';

/** Attempts of one stream that may be in progress at once: silent ones, and one that is sent beside them. */
const maxConcurrentAttempts = 3;
/** Pause after an attempt that was rejected beside a silent one, in milliseconds; grows by as much with each further rejection during the same silence. */
const rejectionPauseMs = 100;

/** Why a silent stream is sent along another pipeline as well. */
export type HedgeCause = {
	readonly reason: string;
	/** The stage that is held responsible; undefined if it is not known. */
	readonly faulty?: BackendServer;
};

/** The attempts of a stream that are in progress, in the order in which they were sent. */
export class StreamAttempts {
	private attempts: readonly StreamAttempt[] = [];
	/** Attempts that were rejected beside a silent one since the last event. */
	private rejections = 0;
	/** Monotonic time in milliseconds before which no further attempt is sent. */
	private notBefore = Number.NEGATIVE_INFINITY;

	/**
	@param hasEnded - whether a server is known to execute nothing any more
	*/
	constructor(private readonly hasEnded: (server: BackendServer) => boolean, private readonly log: StreamLog) {}

	get all(): readonly StreamAttempt[] {
		return this.attempts;
	}

	/** The attempt that was sent last; undefined if none is in progress. */
	get newest(): StreamAttempt | undefined {
		return this.attempts.at(-1);
	}

	add(attempt: StreamAttempt): void {
		this.attempts = [...this.attempts, attempt];
	}

	/** Removes an attempt that has ended, and releases its load. */
	end(attempt: StreamAttempt): void {
		attempt.release();
		this.attempts = this.attempts.filter(other => other !== attempt);
	}

	/** Ends all attempts. */
	clear(): void {
		for (const attempt of this.attempts) {
			this.end(attempt);
		}
	}

	/** Returns the milliseconds since the last event of any attempt or the start of the newest one; 0 while none is in progress. */
	computeSilence(now: number): number {
		return this.newest ? now - Math.max(...this.attempts.map(({lastReceivedAt}) => lastReceivedAt)) : 0;
	}

	/** Whether a further attempt may be sent now. */
	mayHedge(now: number): boolean {
		return this.findEnded().length > 0 || (now >= this.notBefore && this.attempts.length < maxConcurrentAttempts);
	}

	/** Records that an attempt was rejected while another one is in progress. */
	recordRejection(now: number): void {
		this.rejections++;
		this.notBefore = now + (this.rejections * rejectionPauseMs);
	}

	/** Selects a pipeline that has room beside the attempts in progress. If a stage is at fault, one that has room without the newest attempt is the next choice, as its stages may have dropped that attempt. */
	selectHedge({faulty}: HedgeCause, select: () => Pipeline | undefined): Pipeline | undefined {
		return select() ?? (faulty && this.newest?.selectWithoutLoad(select));
	}

	/**
	Cancels the attempts along a pipeline that has lost a stage, since they can't go on.

	@returns whether an attempt was cancelled
	*/
	cancelEnded({reason}: HedgeCause): boolean {
		const ended = this.findEnded();
		for (const attempt of ended) {
			this.cancelSilent(attempt, reason);
		}

		return ended.length > 0;
	}

	/** Records that the attempts in progress are silent, and that another one is sent as well. */
	recordSilence({reason}: HedgeCause): void {
		for (const attempt of this.attempts) {
			if (attempt.silenceReason === undefined) {
				attempt.silenceReason = reason;
				this.log.logHedged(attempt, reason);
			}
		}
	}

	/**
	Goes on with an attempt that received an event, and cancels the others.

	@returns whether an attempt was cancelled
	*/
	continueWith(attempt: StreamAttempt): boolean {
		attempt.silenceReason = undefined;
		this.rejections = 0;
		this.notBefore = Number.NEGATIVE_INFINITY;
		return this.cancelOthers(attempt);
	}

	/**
	Cancels the attempts that have received no event.

	@returns whether an attempt was cancelled
	*/
	cancelWithoutEvent(): boolean {
		const withoutEvent = this.attempts.filter(({crashEvidence}) => !crashEvidence.hasReceivedEvent);
		for (const attempt of withoutEvent) {
			this.cancelSilent(attempt, attempt.silenceReason);
		}

		return withoutEvent.length > 0;
	}

	private cancelOthers(attempt: StreamAttempt): boolean {
		if (this.attempts.length === 1) {
			return false;
		}

		for (const other of this.attempts) {
			if (other !== attempt) {
				this.cancelSilent(other, other.silenceReason);
			}
		}

		return true;
	}

	private findEnded(): readonly StreamAttempt[] {
		return this.attempts.filter(({pipeline}) => pipeline.some(({server}) => this.hasEnded(server)));
	}

	/**
	Cancels an attempt that another one replaces.

	@param silenceReason - why the other one was sent; undefined if this one was not silent
	*/
	private cancelSilent(attempt: StreamAttempt, silenceReason: string | undefined): void {
		attempt.cancel();
		this.end(attempt);
		this.log.logCancelled(attempt, silenceReason);
		if (silenceReason !== undefined) {
			attempt.crashEvidence.recordSilence(attempt.firstServer);
		}
	}
}
