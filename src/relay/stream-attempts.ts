import {type BackendServer} from '../pipelines/backend-server.js';
import {type Pipeline} from '../pipelines/pipeline.js';
import {type StreamAttempt} from './stream-attempt.js';
import {type StreamLog} from './stream-log.js';

/** Attempts of one stream that may be in progress at once: a silent one, and one that is to take over from it. */
const maxAttempts = 2;

/** Why another attempt is to take a silent stream over. */
export type TakeoverCause = {
	readonly reason: string;
	/** The stage that is held responsible; undefined if it is not known. */
	readonly faulty?: BackendServer;
	/** Whether something is known against the pipeline or the connection, besides the silence. */
	readonly isFaultKnown: boolean;
};

/** The attempts of a stream that are in progress, in the order in which they were sent. */
export class StreamAttempts {
	private attempts: readonly StreamAttempt[] = [];

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

	/** Whether a further attempt may be sent. If two are in progress, something must be known against the newest one. */
	mayTakeOver({isFaultKnown}: TakeoverCause): boolean {
		return isFaultKnown || this.attempts.length < maxAttempts;
	}

	/** Selects a pipeline that has room beside the newest attempt, or else one that has room if the load of that attempt does not count. */
	selectTakeover(select: () => Pipeline | undefined): Pipeline | undefined {
		return select() ?? this.newest?.selectWithoutLoad(select);
	}

	/**
	Records why a further attempt is to take over, and cancels the attempts that are not worth keeping beside it: those along a pipeline that has lost a stage, or else the newest one if there are too many.

	@returns whether an attempt was cancelled
	*/
	prepareTakeover(cause: TakeoverCause): boolean {
		const replaced = this.findReplaced(cause);
		for (const attempt of this.attempts) {
			attempt.faultReason ??= cause.reason;
		}

		for (const attempt of replaced) {
			this.cancel(attempt);
		}

		return replaced.length > 0;
	}

	/**
	Goes on with an attempt that received an event, and cancels the others.

	@returns whether an attempt was cancelled
	*/
	continueWith(attempt: StreamAttempt): boolean {
		attempt.faultReason = undefined;
		if (this.attempts.length === 1) {
			return false;
		}

		for (const other of this.attempts) {
			if (other !== attempt) {
				this.cancel(other);
			}
		}

		return true;
	}

	private findReplaced({faulty}: TakeoverCause): readonly StreamAttempt[] {
		const ended = faulty && this.hasEnded(faulty) ? this.attempts.filter(attempt => attempt.usesServer(faulty)) : [];
		return ended.length === 0 && this.attempts.length >= maxAttempts ? this.attempts.slice(-1) : ended;
	}

	/** Cancels an attempt because another one goes on or replaces it. */
	private cancel(attempt: StreamAttempt): void {
		attempt.cancel();
		this.end(attempt);
		if (attempt.faultReason === undefined) {
			this.log.logCancelled(attempt);
			return;
		}

		attempt.crashEvidence.recordSilence(attempt.firstServer);
		this.log.logAttemptFailed(attempt, attempt.faultReason, true);
	}
}
