import {type StreamAttempt} from './stream-attempt.js';

/** Attempts of one stream that may be in progress at once: a silent one, and one that is to take over from it. */
const maxAttempts = 2;

/** The attempts of a stream that are in progress, in the order in which they were sent. */
export class StreamAttempts {
	private attempts: readonly StreamAttempt[] = [];

	get all(): readonly StreamAttempt[] {
		return this.attempts;
	}

	/** The attempt that was sent last; undefined if none is in progress. */
	get newest(): StreamAttempt | undefined {
		return this.attempts.at(-1);
	}

	/** Whether one must end before a further one is sent. */
	get isFull(): boolean {
		return this.attempts.length >= maxAttempts;
	}

	add(attempt: StreamAttempt): void {
		this.attempts = [...this.attempts, attempt];
	}

	remove(attempt: StreamAttempt): void {
		this.attempts = this.attempts.filter(other => other !== attempt);
	}

	/** Removes all attempts and releases their load. */
	clear(): void {
		for (const attempt of this.attempts) {
			attempt.release();
		}

		this.attempts = [];
	}

	/** Returns the milliseconds since the last event of any attempt or the start of the newest one; 0 while none is in progress. */
	computeSilence(now: number): number {
		return this.newest ? now - Math.max(...this.attempts.map(({lastReceivedAt}) => lastReceivedAt)) : 0;
	}
}
