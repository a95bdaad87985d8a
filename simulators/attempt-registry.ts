import {type ServerResponse} from 'node:http';
import {type TimerService} from '../src/time/timer-service.js';
import {createAttemptState, type AttemptState} from './attempt-state.js';
import {formatAttemptKey} from './work-item.js';

/** Identifies one attempt of a request. */
export type AttemptId = {
	readonly request: string;
	readonly number: number;
};

const reconnectTimeoutMs = 3000;
const maximumAttempts = 5000;

/** The attempts that an engine simulator knows. For attempts whose last stage it is, it also has the answer stream. */
export class AttemptRegistry {
	/** Number of attempts that were cancelled before they finished. */
	cancelled = 0;
	private readonly attempts = new Map<string, AttemptState>();

	/**
	@param onCancelled - drops the queued work of a cancelled attempt
	*/
	constructor(private readonly timers: TimerService, private readonly onCancelled: (attempt: AttemptId) => void) {}

	/** Returns the state of an attempt and creates it if the attempt is new. */
	getOrCreate(attempt: AttemptId): AttemptState {
		const key = formatAttemptKey(attempt);
		let state = this.attempts.get(key);
		if (!state) {
			state = createAttemptState();
			this.attempts.set(key, state);
			this.evictEnded();
		}

		return state;
	}

	/** Counts the attempts that are neither finished nor cancelled. */
	countRunning(): number {
		let running = 0;
		for (const state of this.attempts.values()) {
			running += state.isFinished || state.isCancelled ? 0 : 1;
		}

		return running;
	}

	/** Sends the answer stream of an attempt over a response. The attempt is cancelled if the connection closes and no other opens within `reconnectTimeoutMs`. */
	openStream(state: AttemptState, response: ServerResponse, attempt: AttemptId): void {
		state.response = response;
		response.writeHead(200, {'content-type': 'application/x-ndjson'});
		response.flushHeaders();
		response.on('close', () => {
			this.timers.after(reconnectTimeoutMs, () => {
				if (state.response === response && !state.isFinished) {
					this.cancel(attempt);
				}
			});
		});
	}

	/** Sends the answer stream of a known attempt over a new connection, from a token index on. */
	attach(attempt: AttemptId, from: number, response: ServerResponse): void {
		const session = this.attempts.get(formatAttemptKey(attempt));
		if (!session || session.isCancelled) {
			response.end('{"error":"the attempt is not known"}\n');
			return;
		}

		this.openStream(session, response, attempt);
		response.write(session.lines.slice(Math.max(0, from - session.firstIndex)).join(''));
		if (session.isFinished) {
			response.end();
		}
	}

	/** Cancels an attempt and ends its answer stream. */
	cancel(attempt: AttemptId): void {
		const session = this.getOrCreate(attempt);
		this.cancelled += session.isCancelled || session.isFinished ? 0 : 1;
		session.isCancelled = true;
		this.onCancelled(attempt);
		session.response?.end();
	}

	/** Reports over the answer stream of an attempt that a stage cannot be reached. Does nothing if the attempt has ended. */
	sendStageFailure(attempt: AttemptId, server: string): void {
		const session = this.attempts.get(formatAttemptKey(attempt));
		if (session && !session.isCancelled && !session.isFinished) {
			session.response?.write(`${JSON.stringify({error: `the stage ${server} cannot be reached`, server})}\n`);
		}
	}

	/** Returns the progress of an attempt, as `GET /attempts/REQUEST/NUMBER` answers it. */
	getStatus(key: string): unknown {
		const session = this.attempts.get(key);
		return {
			isKnown: session !== undefined && !session.isCancelled,
			received: session?.received ?? 0,
			forwarded: session?.forwarded ?? 0,
			emitted: session ? session.firstIndex + session.lines.length : 0,
		};
	}

	/** Removes ended attempts, oldest first, while there are more than the maximum. */
	private evictEnded(): void {
		for (const [key, state] of this.attempts) {
			if (this.attempts.size <= maximumAttempts) {
				return;
			}

			if (state.isFinished || state.isCancelled) {
				this.attempts.delete(key);
			}
		}
	}
}
