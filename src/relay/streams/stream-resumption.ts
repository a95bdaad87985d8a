import {isRepeatable} from '../../catalog/route.js';
import {type BackendServer} from '../../pipelines/backend-server.js';
import {type CallerReply} from '../caller-reply.js';
import {type CrashEvidence} from '../crash-evidence.js';
import {type ExchangeDependencies} from '../exchange-dependencies.js';
import {type RelayRequest} from '../relay-request.js';
import {type StreamAttempt} from './stream-attempt.js';
import {type StreamAttempts} from './stream-attempts.js';
import {type StreamDispatcher} from './stream-dispatcher.js';
import {type StreamExchangeDependencies} from './stream-exchange-dependencies.js';
import {type StreamLog} from './stream-log.js';
import {type StreamPipelineSelector} from './stream-pipeline-selector.js';

/** Pause in milliseconds after each rejection beyond the limit for requests that have not begun. */
const rejectionPauseMs = 100;

/** What a resumption needs to know of its stream. */
export type ResumedStream = {
	readonly request: RelayRequest;
	readonly reply: CallerReply;
	readonly attempts: StreamAttempts;
	readonly selector: StreamPipelineSelector;
	readonly crashEvidence: CrashEvidence;
	readonly dispatcher: StreamDispatcher;
	readonly log: StreamLog;
};

/** Ends a stream that does not go on. */
export type ResumptionHandler = {
	/** Ends the stream because no pipeline has capacity. */
	failForCapacity(reason: string): void;
	/** Ends the stream because it was interrupted. */
	failInterrupted(reason: string): void;
};

/** Decides how a stream goes on after an attempt that did not complete it. */
export class StreamResumption {
	private rejectionCount = 0;
	/** Whether the ids of the events that were passed on may be wrong, so that no attempt can resume after them. */
	private hasWrongIds = false;

	constructor(
		private readonly dependencies: Pick<ExchangeDependencies, 'timers'> & Pick<StreamExchangeDependencies, 'limits'>,
		private readonly stream: ResumedStream,
		private readonly handler: ResumptionHandler,
	) {}

	/** Number of attempts that were not executed. */
	get rejections(): number {
		return this.rejectionCount;
	}

	/** Whether the stream may be executed once more, apart from the limit of servers and the retry budget. */
	get mayResume(): boolean {
		const {request: {route}, crashEvidence, selector} = this.stream;
		return isRepeatable(route) && this.remaining > 0 && !crashEvidence.isConclusive && !selector.isExhausted && !this.hasWrongIds;
	}

	/** Records that an attempt was lost. A server that loses several of them early is not used again, although it may be alive. */
	recordLoss(attempt: StreamAttempt): void {
		const {crashEvidence, selector} = this.stream;
		attempt.recordLoss(this.dependencies.timers.now());
		if (crashEvidence.isExhausted(attempt.firstServer)) {
			selector.exclude(attempt.firstServer);
		}
	}

	/** Handles an attempt that was not executed: sends the request along the next pipeline as soon as one has capacity and the retry budget allows it, unless another attempt is in progress. A reply that has begun can't be refused any more, so the number of its rejections is not limited. */
	retryRejected(attempt: StreamAttempt, reason: string, server: BackendServer): void {
		const {attempts, reply, log, dispatcher} = this.stream;
		this.rejectionCount++;
		if (this.isRejectedAsFull(attempt)) {
			dispatcher.recordFullStage();
		}

		const hasOther = attempts.newest !== undefined;
		const isWithinLimit = this.rejectionCount <= this.dependencies.limits.maxRejections;
		const isAllowed = hasOther || ((isWithinLimit || reply.isStarted) && this.remaining > 0);
		log.logRejected(server, attempt.number, reason, isAllowed && !hasOther);
		if (hasOther) {
			attempts.recordRejection(this.dependencies.timers.now());
		} else if (!isAllowed) {
			this.handler.failForCapacity(reason);
		} else if (isWithinLimit) {
			dispatcher.dispatch();
		} else {
			dispatcher.dispatchAfter(rejectionPauseMs);
		}
	}

	/** Handles an attempt that was executed and interrupted: the stream goes on with the other attempt, or resumes on another pipeline if the route allows it. */
	resumeOrFail(attempt: StreamAttempt, reason: string): void {
		const {attempts, selector, log, dispatcher} = this.stream;
		selector.recordFailure(attempt.firstServer);
		const hasOther = attempts.newest !== undefined;
		this.hasWrongIds ||= !attempt.response.isResumable;
		// An attempt that passed nothing on does not end the others.
		const mayContinue = hasOther && (attempt.response.isResumable || !attempt.response.hasPassedEvents);
		const isRetried = !hasOther && this.mayResume;
		log.logAttemptFailed(attempt, reason, isRetried);
		if (isRetried) {
			dispatcher.dispatch();
		} else if (!mayContinue) {
			this.handler.failInterrupted(reason);
		}
	}

	/** Whether a stage responded that it lacks capacity. A late rejection indicates a stage that is down, and an attempt without a response did not reach a stage. */
	private isRejectedAsFull({response: {head}, lastReceivedAt}: StreamAttempt): boolean {
		const {timers, limits} = this.dependencies;
		return head !== undefined && !head.isLeaving && timers.now() - lastReceivedAt < limits.lateRejectionThreshold;
	}

	/** Milliseconds left until the deadline of the final reply. */
	private get remaining(): number {
		return this.stream.request.deadline - this.dependencies.timers.now();
	}
}
