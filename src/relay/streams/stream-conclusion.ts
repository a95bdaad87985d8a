import {type CallerReply} from '../caller-reply.js';
import {type ExchangeDependencies} from '../exchange-dependencies.js';
import {type ExecutionHistory} from '../execution-history.js';
import {type ResponseHead} from '../response-head.js';
import {type StageFailureDetector} from './stage-failure-detector.js';
import {type StreamAttempt} from './stream-attempt.js';
import {type StreamAttempts} from './stream-attempts.js';
import {type StreamDelivery} from './stream-delivery.js';
import {StreamEnd} from './stream-end.js';
import {type StreamLog} from './stream-log.js';
import {type StreamPipelineSelector} from './stream-pipeline-selector.js';
import {type StreamProgress} from './stream-progress.js';
import {type StreamResumption} from './stream-resumption.js';

const minNonSuccessStatus = 300;

/** What a conclusion needs to know of its stream. */
export type ConcludedStream = {
	readonly reply: CallerReply;
	readonly progress: StreamProgress;
	readonly executions: ExecutionHistory;
	readonly attempts: StreamAttempts;
	readonly selector: StreamPipelineSelector;
	readonly failureDetector: StageFailureDetector;
	readonly delivery: StreamDelivery;
	readonly resumption: StreamResumption;
	readonly log: StreamLog;
};

/** Carries out what a conclusion decides. */
export type ConclusionHandler = {
	/** Returns the number of attempts sent so far. */
	countAttempts(): number;
	/** Whether a response would tell the caller that its request was not executed, although the server does not state it. */
	isUnfoundedRefusal(head: ResponseHead): boolean;
	/** Ends the stream with a complete reply. */
	complete(status: number): void;
};

/** Decides what the end of a response means for its stream. */
export class StreamConclusion {
	constructor(
		private readonly dependencies: Pick<ExchangeDependencies, 'timers' | 'metrics'>,
		private readonly stream: ConcludedStream,
		private readonly handler: ConclusionHandler,
	) {}

	/** Handles the end of the response to an attempt that is not in progress any more. */
	conclude(attempt: StreamAttempt, end: StreamEnd): void {
		if (end === StreamEnd.Rejected) {
			this.handleRejection(attempt);
		} else if (end === StreamEnd.Error) {
			this.handleErrorResponse(attempt);
		} else {
			this.handleStreamEnd(attempt, end);
		}
	}

	private handleStreamEnd(attempt: StreamAttempt, end: StreamEnd): void {
		const {reply, delivery, selector, resumption} = this.stream;
		if (end === StreamEnd.Complete) {
			delivery.deliver(attempt, attempt.response.releaseHeld());
		}

		if (end === StreamEnd.Incomplete || !reply.isStarted) {
			resumption.recordLoss(attempt);
			resumption.resumeOrFail(attempt, 'the stream ended and may be incomplete');
		} else if (end === StreamEnd.Empty) {
			selector.exclude(attempt.firstServer);
			resumption.recordLoss(attempt);
			resumption.resumeOrFail(attempt, 'the stream ended before an event and may be incomplete');
		} else {
			this.completeStream(attempt);
		}
	}

	private completeStream(attempt: StreamAttempt): void {
		const {dependencies: {metrics, timers}, stream: {progress, log}, handler} = this;
		const {status} = attempt.response.head!;
		attempt.crashEvidence.recordHarmless();
		metrics.record('siskinnotch_longest_pause_ms', progress.longestPauseMs);
		log.logCompleted(status, attempt.pipeline, handler.countAttempts(), timers.now());
		handler.complete(status);
	}

	private handleRejection(attempt: StreamAttempt): void {
		const {executions, selector, failureDetector, resumption} = this.stream;
		const now = this.dependencies.timers.now();
		executions.revertStart(attempt.firstServer);
		const {server, reason} = failureDetector.assessRejection(attempt.response.head!, {
			pipeline: attempt.pipeline, tokens: selector.expectedTokens, tookMs: now - attempt.lastReceivedAt,
		}, now);
		resumption.retryRejected(attempt, reason, server);
	}

	private handleErrorResponse(attempt: StreamAttempt): void {
		const {reply, log, resumption} = this.stream;
		const head = attempt.response.head!;
		const reason = `${attempt.firstServer.id} responded with status ${head.status}`;
		if (!this.isFinalResponse(head)) {
			resumption.resumeOrFail(attempt, reason);
			return;
		}

		reply.begin(head.status, head.headers);
		if (attempt.response.otherBytes.length > 0) {
			reply.write(attempt.response.otherBytes);
		}

		log.logErrorResponse(head.status, this.handler.countAttempts());
		this.handler.complete(head.status);
	}

	/** Whether a response that is no stream is passed on to the caller, because no other attempt may be made. */
	private isFinalResponse(head: ResponseHead): boolean {
		const {reply, attempts, executions, resumption} = this.stream;
		const hasAlternative = attempts.newest !== undefined || (resumption.mayResume && executions.allowsNewServer);
		return head.status >= minNonSuccessStatus && !reply.isStarted && !this.handler.isUnfoundedRefusal(head) && !hasAlternative;
	}
}
