import {type DecisionLog} from '../../observation/decision-log.js';
import {type BackendServer} from '../../pipelines/backend-server.js';
import {type RelayRequest} from '../relay-request.js';
import {type PlainAttempt} from './plain-attempt.js';

/** Writes the log lines of one plain exchange. Times are in milliseconds. */
export class PlainLog {
	constructor(private readonly log: DecisionLog, private readonly request: RelayRequest) {}

	/** Logs that the request waits for the limit of a server. */
	logWaiting(server: BackendServer, delay: number, attempts: number): void {
		this.log.write('request.waiting', {
			request: this.request.id, server: server.id, limitMs: Math.round(delay), attempts,
		});
	}

	/**
	Logs that an attempt was sent.

	@param listAge - age of the server list
	*/
	logSent({server, number}: PlainAttempt, remaining: number, listAge: number): void {
		this.log.write('request.sent', {
			request: this.request.id, server: server.id, attempt: number, remainingMs: Math.round(remaining), listAgeMs: Math.round(listAge),
		});
	}

	/** Logs that the request is sent to a second server as well, since an attempt has had no response for a while. */
	logHedged({server, number}: PlainAttempt, silence: number): void {
		this.log.warn('request.hedged', {
			request: this.request.id, server: server.id, attempt: number, reason: `no response within ${Math.round(silence)} ms`,
		});
	}

	/** Logs that an attempt was cancelled because another one has a response. */
	logCancelled({server, number}: PlainAttempt): void {
		this.log.write('request.attempt_cancelled', {request: this.request.id, server: server.id, attempt: number});
	}

	/** Logs an attempt without a response that can be passed on. */
	logAttemptFailed({server, number}: PlainAttempt, reason: string, isRepeated: boolean): void {
		this.log.warn('request.attempt_failed', {
			request: this.request.id, server: server.id, attempt: number, reason, isRepeated,
		});
	}

	/** Logs that the caller has received the complete response. */
	logAnswered(status: number, server: BackendServer, attempts: number, now: number): void {
		this.log.write('request.answered', {
			request: this.request.id, status, server: server.id, attempts, afterMs: Math.round(now - this.request.arrivedAt),
		});
	}
}
