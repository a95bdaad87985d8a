import {type ServerResponse} from 'node:http';
import {type TimerService} from '../src/time/timer-service.js';
import {createAttemptState, type AttemptState} from './attempt-state.js';
import {formatAttemptKey} from './work-item.js';

/** Names one attempt of a request. */
export type AttemptId = {
	readonly request: string;
	readonly number: number;
};

const unreadLimitMs = 3000;
const mostSessions = 5000;

/** The attempts that a stand-in engine knows, with the streams of those whose last stage it is. */
export class AttemptRegistry {
	/** Number of attempts that were cancelled while they ran. */
	cancelled = 0;
	private readonly sessions = new Map<string, AttemptState>();

	/**
	@param onStopped - drops the work of an attempt that was given up
	*/
	constructor(private readonly timers: TimerService, private readonly onStopped: (attempt: AttemptId) => void) {}

	/** The session of an attempt; a new one where there is none. */
	sessionOf(attempt: AttemptId): AttemptState {
		const key = formatAttemptKey(attempt);
		let session = this.sessions.get(key);
		if (!session) {
			session = createAttemptState();
			this.sessions.set(key, session);
			this.forgetOld();
		}

		return session;
	}

	/** Number of attempts that run. */
	running(): number {
		let running = 0;
		for (const session of this.sessions.values()) {
			running += session.isFinished || session.isCancelled ? 0 : 1;
		}

		return running;
	}

	/** Answers with the stream of an attempt. */
	open(session: AttemptState, response: ServerResponse, attempt: AttemptId): void {
		session.response = response;
		response.writeHead(200, {'content-type': 'application/x-ndjson'});
		response.flushHeaders();
		response.on('close', () => {
			// Nobody reads: the attempt is given up unless a new connection comes.
			this.timers.after(unreadLimitMs, () => {
				if (session.response === response && !session.isFinished) {
					this.stop(attempt);
				}
			});
		});
	}

	/** Answers with the stream of a running attempt again, from a token on. */
	attach(attempt: AttemptId, from: number, response: ServerResponse): void {
		const session = this.sessions.get(formatAttemptKey(attempt));
		if (!session || session.isCancelled) {
			response.end('{"error":"the attempt is not known"}\n');
			return;
		}

		this.open(session, response, attempt);
		response.write(session.lines.slice(Math.max(0, from - session.firstIndex)).join(''));
		if (session.isFinished) {
			response.end();
		}
	}

	/** Gives an attempt up. */
	stop(attempt: AttemptId): void {
		const session = this.sessionOf(attempt);
		this.cancelled += session.isCancelled || session.isFinished ? 0 : 1;
		session.isCancelled = true;
		this.onStopped(attempt);
		session.response?.end();
	}

	/** Tells the router over the answer stream that a stage cannot be reached. */
	fail(attempt: AttemptId, server: string): void {
		const session = this.sessions.get(formatAttemptKey(attempt));
		if (session && !session.isCancelled && !session.isFinished) {
			session.response?.write(`${JSON.stringify({error: `the stage ${server} cannot be reached`, server})}\n`);
		}
	}

	/** How far an attempt has come. */
	status(key: string): unknown {
		const session = this.sessions.get(key);
		return {
			isKnown: session !== undefined && !session.isCancelled,
			received: session?.received ?? 0,
			forwarded: session?.forwarded ?? 0,
			emitted: session ? session.firstIndex + session.lines.length : 0,
		};
	}

	private forgetOld(): void {
		for (const [key, session] of this.sessions) {
			if (this.sessions.size <= mostSessions) {
				return;
			}

			if (session.isFinished || session.isCancelled) {
				this.sessions.delete(key);
			}
		}
	}
}
