import {type ServerResponse} from 'node:http';
import {type TimerService} from '../src/time/timer-service.js';
import {createAttemptState, type AttemptState} from './attempt-state.js';
import {formatAttemptKey} from './work-item.js';

/** Names one attempt of a request. */
export type AttemptId = {
	readonly request: string;
	readonly number: number;
};

const reconnectTimeoutMs = 3000;
const maximumAttempts = 5000;

/** The attempts that a stand-in engine knows, with the streams of those whose last stage it is. */
export class AttemptRegistry {
	/** Number of attempts that were cancelled while they ran. */
	cancelled = 0;
	private readonly attempts = new Map<string, AttemptState>();

	/**
	@param onCancelled - drops the work of an attempt that was given up
	*/
	constructor(private readonly timers: TimerService, private readonly onCancelled: (attempt: AttemptId) => void) {}

	/** The session of an attempt; a new one where there is none. */
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

	/** Number of attempts that run. */
	countRunning(): number {
		let running = 0;
		for (const state of this.attempts.values()) {
			running += state.isFinished || state.isCancelled ? 0 : 1;
		}

		return running;
	}

	/** Answers with the stream of an attempt. */
	openStream(state: AttemptState, response: ServerResponse, attempt: AttemptId): void {
		state.response = response;
		response.writeHead(200, {'content-type': 'application/x-ndjson'});
		response.flushHeaders();
		response.on('close', () => {
			// Nobody reads: the attempt is given up unless a new connection comes.
			this.timers.after(reconnectTimeoutMs, () => {
				if (state.response === response && !state.isFinished) {
					this.cancel(attempt);
				}
			});
		});
	}

	/** Answers with the stream of a running attempt again, from a token on. */
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

	/** Gives an attempt up. */
	cancel(attempt: AttemptId): void {
		const session = this.getOrCreate(attempt);
		this.cancelled += session.isCancelled || session.isFinished ? 0 : 1;
		session.isCancelled = true;
		this.onCancelled(attempt);
		session.response?.end();
	}

	/** Tells the router over the answer stream that a stage cannot be reached. */
	sendStageFailure(attempt: AttemptId, server: string): void {
		const session = this.attempts.get(formatAttemptKey(attempt));
		if (session && !session.isCancelled && !session.isFinished) {
			session.response?.write(`${JSON.stringify({error: `the stage ${server} cannot be reached`, server})}\n`);
		}
	}

	/** How far an attempt has come. */
	getStatus(key: string): unknown {
		const session = this.attempts.get(key);
		return {
			isKnown: session !== undefined && !session.isCancelled,
			received: session?.received ?? 0,
			forwarded: session?.forwarded ?? 0,
			emitted: session ? session.firstIndex + session.lines.length : 0,
		};
	}

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
