import {type DecisionLog} from '../../observation/decision-log.js';
import {type BackendServer} from '../../pipelines/backend-server.js';
import {describePipeline, type Pipeline} from '../../pipelines/pipeline.js';
import {type RelayRequest} from '../relay-request.js';
import {type StreamAttempt} from './stream-attempt.js';
import {type StreamProgress} from './stream-progress.js';

/** What decided a transmission, besides its pipeline. Times are in milliseconds. */
export type SendInputs = {
	readonly tokens: number;
	readonly attempt: number;
	/** Servers that count against the limit of the route, including this one. */
	readonly countedServers: number;
	/** Servers on which the request may have been executed and which are not counted, because they ended. */
	readonly uncountedServers: number;
	/** Time left until the deadline. */
	readonly remaining: number;
	/** Age of the server list. */
	readonly listAge: number;
};

/** Writes the log lines of one stream exchange. */
export class StreamLog {
	constructor(private readonly log: DecisionLog, private readonly request: RelayRequest, private readonly progress: StreamProgress) {}

	/**
	Logs that the request waits for a pipeline with capacity.

	@param queueSize - queued requests, including this one
	@param tokens - capacity that the request needs
	*/
	logQueued(queueSize: number, attempts: number, tokens: number): void {
		this.log.write('request.waiting', {
			request: this.request.id, waiting: queueSize, attempts, tokens,
		});
	}

	/** Logs that the request was sent along a pipeline. */
	logSent(pipeline: Pipeline, inputs: SendInputs): void {
		this.log.write('request.sent', {
			request: this.request.id,
			pipeline: describePipeline(pipeline),
			tokens: inputs.tokens,
			attempt: inputs.attempt,
			servers: inputs.countedServers,
			endedServers: inputs.uncountedServers,
			afterEvent: this.progress.lastEventId,
			remainingMs: Math.round(inputs.remaining),
			listAgeMs: Math.round(inputs.listAge),
		});
	}

	/** Logs that an event whose id skips others is held until the next one shows that it is in order. */
	logHeld({firstServer, number}: StreamAttempt): void {
		this.log.write('request.event_held', {
			request: this.request.id, server: firstServer.id, attempt: number, afterEvent: this.progress.lastEventId,
		});
	}

	/** Logs that the caller has received the complete stream. */
	logCompleted(status: number, pipeline: Pipeline, attempts: number, now: number): void {
		this.log.write('request.answered', {
			request: this.request.id,
			status,
			pipeline: describePipeline(pipeline),
			events: this.progress.deliveredEvents,
			firstEventMs: Math.round(this.progress.firstEventMs),
			longestPauseMs: Math.round(this.progress.longestPauseMs),
			attempts,
			afterMs: Math.round(now - this.request.arrivedAt),
		});
	}

	/** Logs that the backend server's error response was passed on to the caller. */
	logErrorResponse(status: number, attempts: number): void {
		this.log.warn('request.answered', {request: this.request.id, status, attempts});
	}

	/** Logs an attempt that was not executed. */
	logRejected(server: BackendServer, attempt: number, reason: string, isRepeated: boolean): void {
		this.log.warn('request.rejected', {
			request: this.request.id, server: server.id, attempt, reason, isRepeated,
		});
	}

	/** Logs that the request is sent along another pipeline as well, because an attempt is silent. */
	logHedged({firstServer, number}: StreamAttempt, reason: string): void {
		this.log.warn('request.hedged', {
			request: this.request.id, server: firstServer.id, attempt: number, reason, afterEvent: this.progress.lastEventId,
		});
	}

	/**
	Logs an attempt that was cancelled because another one goes on.

	@param reason - why the other one was sent; undefined if this one was not silent
	*/
	logCancelled({firstServer, number}: StreamAttempt, reason: string | undefined): void {
		this.log.write('request.attempt_cancelled', {
			request: this.request.id, server: firstServer.id, attempt: number, reason, afterEvent: this.progress.lastEventId,
		});
	}

	/** Logs an attempt that was executed and interrupted. */
	logAttemptFailed({firstServer, number}: StreamAttempt, reason: string, isRepeated: boolean): void {
		this.log.warn('request.attempt_failed', {
			request: this.request.id, server: firstServer.id, attempt: number, reason, afterEvent: this.progress.lastEventId, isRepeated,
		});
	}
}
