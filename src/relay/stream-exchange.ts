import {RetryUrgency} from '../admission/retry-urgency.js';
import {isRepeatable} from '../catalog/route.js';
import {type DecisionFields} from '../observation/decision-log.js';
import {type BackendServer} from '../pipelines/backend-server.js';
import {type EngineModel} from '../pipelines/engine-model.js';
import {type Pipeline} from '../pipelines/pipeline.js';
import {SuspicionCause} from '../pipelines/suspicion-cause.js';
import {type Failure} from '../results/failure.js';
import {
	AttemptFailureReason, getSuspicionCause, isUnsent, type AttemptFailure,
} from './attempt-failure.js';
import {type RunningAttempt} from './backend-client.js';
import {type CallerReply} from './caller-reply.js';
import {CrashEvidence} from './crash-evidence.js';
import {type ExchangeDependencies} from './exchange-dependencies.js';
import {Exchange} from './exchange.js';
import {ExecutionHistory} from './execution-history.js';
import {type RelayRequest} from './relay-request.js';
import {type ResponseHead} from './response-head.js';
import {StageFailureDetector} from './stage-failure-detector.js';
import {type StreamAttempt, type StreamAttemptHandler} from './stream-attempt.js';
import {StreamAttempts, type HedgeCause} from './stream-attempts.js';
import {computeStreamDeadlines} from './stream-deadlines.js';
import {StreamDelivery} from './stream-delivery.js';
import {StreamDispatcher} from './stream-dispatcher.js';
import {type StreamExchangeDependencies} from './stream-exchange-dependencies.js';
import {StreamEnd} from './stream-end.js';
import {StreamFailures} from './stream-failures.js';
import {StreamLog} from './stream-log.js';
import {StreamPipelineSelector} from './stream-pipeline-selector.js';
import {StreamProgress} from './stream-progress.js';
import {StreamSender} from './stream-sender.js';

const minNonSuccessStatus = 300;
/** Pause in milliseconds after each rejection beyond the limit for requests that have not begun. */
const rejectionPauseMs = 100;

/**
Exchange of a request to a service whose servers hold layer ranges. The request is sent along a pipeline and the response is a stream of events. If an attempt is interrupted, the stream resumes on another pipeline after the last event that the caller has received.

A silent attempt is kept beside the one that is to take over, since its server may continue and the other one may reject the request. The first event of either decides which one goes on.
*/
export class StreamExchange extends Exchange implements StreamAttemptHandler {
	private rejectionCount = 0;
	private isQuarantined = false;
	/** Whether the ids of the events that were passed on may be wrong, so that no attempt can resume after them. */
	private hasWrongIds = false;
	private readonly attempts: StreamAttempts;
	private readonly selector: StreamPipelineSelector;
	private readonly executions: ExecutionHistory;
	private readonly progress: StreamProgress;
	private readonly log: StreamLog;
	private readonly failureDetector: StageFailureDetector;
	private readonly crashEvidence: CrashEvidence;
	private readonly sender: StreamSender;
	private readonly dispatcher: StreamDispatcher;
	private readonly delivery: StreamDelivery;
	private readonly failures: StreamFailures;

	constructor(dependencies: ExchangeDependencies, request: RelayRequest, reply: CallerReply, private readonly streamDependencies: StreamExchangeDependencies & {readonly model: EngineModel}) {
		super(dependencies, request, reply);
		this.progress = new StreamProgress(request.arrivedAt, request.lastEventId);
		this.log = new StreamLog(dependencies.log, request, this.progress);
		this.crashEvidence = new CrashEvidence(dependencies.crashGuard, request, {
			hasEnded: server => this.hasEnded(server),
			hasOutlived: (server, time) => dependencies.serverHealth.hasOutlived(server, time),
		});
		this.failureDetector = new StageFailureDetector(dependencies.serverHealth, streamDependencies);
		this.executions = new ExecutionHistory(request.route.maxExecutions, server => !this.hasEnded(server));
		this.selector = new StreamPipelineSelector(streamDependencies.selector, request, streamDependencies.model, this.executions);
		this.attempts = new StreamAttempts(server => this.hasEnded(server), this.log);
		this.failures = new StreamFailures(request, this.executions, streamDependencies.limits.retryAfter);
		this.delivery = new StreamDelivery(dependencies, request, reply, this.progress);
		const {progress, executions, crashEvidence, log, selector} = this;
		this.sender = new StreamSender(dependencies, {
			request, tokens: selector.expectedTokens, progress, executions, crashEvidence, log,
		});
		this.dispatcher = new StreamDispatcher({...dependencies, ...streamDependencies}, {
			request, progress, executions, selector, log,
		}, {
			countAttempts: () => this.attemptCount,
			tryAcquireRetry: () => this.tryAcquireRetry(this.reply.isStarted ? RetryUrgency.Begun : RetryUrgency.Ordinary),
			send: pipeline => {
				this.send(pipeline);
			},
			failForCapacity: reason => {
				this.failForCapacity(reason);
			},
		});
	}

	/** The stages of the newest attempt; undefined while no attempt is in progress. */
	get stages(): Pipeline | undefined {
		return this.attempts.newest?.pipeline;
	}

	/** Whether the newest attempt uses this instance's own path to the first stage. */
	get usesOwnPath(): boolean {
		return this.attempts.newest?.transmission?.usesOwnPath ?? false;
	}

	/** Returns the milliseconds since the last event or the start of the newest attempt; 0 while no attempt is in progress. */
	computeSilence(now: number): number {
		return this.attempts.computeSilence(now);
	}

	/** Sends a silent stream along a pipeline without the faulty stage as well, or without the first stage if the faulty one is not known. */
	hedge(faulty: BackendServer | undefined, reason: string): void {
		const {newest} = this.attempts;
		if (!newest || !this.mayHedge) {
			return;
		}

		this.selector.avoid(faulty ?? newest.firstServer);
		this.sendHedge(now => this.selector.selectAlternative(now, faulty), {reason, faulty});
	}

	/** Sends a silent stream over another connection as well, because the one to its first stage seems to be broken and not the stage itself. */
	reconnect(reason: string): void {
		if (this.attempts.newest && this.mayHedge) {
			this.sendHedge(now => this.selector.select(now), {reason});
		}
	}

	override endQuarantined(refusal: Failure): void {
		if (this.isDone) {
			return;
		}

		this.isQuarantined = true;
		if (this.attempts.all.some(({crashEvidence}) => crashEvidence.hasReceivedEvent)) {
			if (this.attempts.cancelWithoutEvent()) {
				this.streamDependencies.requestQueue.dispatchReady();
			}

			return;
		}

		this.failWith(this.failures.createQuarantineFailure(refusal));
	}

	receiveHead(attempt: StreamAttempt, head: ResponseHead): void {
		attempt.response.head = head;
		this.observeServer(attempt.firstServer, head, attempt.sentAt);
	}

	receiveData(attempt: StreamAttempt, chunk: Uint8Array): void {
		const now = this.dependencies.timers.now();
		const {events, hasHeldEvent, fault} = attempt.response.receive(chunk, now);
		if (hasHeldEvent) {
			this.log.logHeld(attempt);
		}

		if (events.length > 0 || hasHeldEvent) {
			attempt.crashEvidence.recordEvent(now);
			this.dependencies.serverHealth.recordPipelineProgress(attempt.pipeline, now);
		}

		if (events.length > 0) {
			this.continueWith(attempt);
			this.delivery.deliver(attempt, events);
		}

		if (fault !== undefined) {
			this.handleFault(attempt, fault);
		}
	}

	receiveEnd(attempt: StreamAttempt): void {
		const end = attempt.response.assessEnd();
		this.endAttempt(attempt);
		if (end === StreamEnd.Rejected) {
			this.handleRejection(attempt);
		} else if (end === StreamEnd.Error) {
			this.handleErrorResponse(attempt);
		} else {
			this.handleStreamEnd(attempt, end);
		}
	}

	receiveFailure(attempt: StreamAttempt, {reason, detail}: AttemptFailure): void {
		if (reason === AttemptFailureReason.ExcessiveResponse) {
			this.abandonAttempt(attempt, detail);
			return;
		}

		const {firstServer} = attempt;
		this.endAttempt(attempt);
		if (isUnsent(reason)) {
			this.executions.revertStart(firstServer);
			this.failureDetector.suspect(firstServer, getSuspicionCause(reason), detail, this.dependencies.timers.now());
			this.retryRejected(attempt, detail, firstServer);
			return;
		}

		this.recordLoss(attempt);
		this.resumeOrFail(attempt, detail);
	}

	protected dispatch(): void {
		this.dispatcher.dispatch();
	}

	protected createDeadlineFailure(): Failure {
		return this.failures.createDeadlineFailure();
	}

	protected get runningAttempts(): readonly RunningAttempt[] {
		return this.attempts.all.flatMap(({transmission}) => transmission ?? []);
	}

	protected release(): void {
		this.dispatcher.cancel();
		this.attempts.clear();
	}

	protected describeProgress(): DecisionFields {
		return {
			afterEvent: this.progress.lastEventId,
			silentMs: Math.round(this.dependencies.timers.now() - this.progress.lastDeliveredAt),
			rejections: this.rejectionCount,
			servers: this.executions.countedServers,
		};
	}

	protected get mayHaveExecuted(): boolean {
		return this.executions.mayHaveExecuted;
	}

	/** Sends a silent stream along another pipeline too, if one has capacity and the retry budget allows it. */
	private sendHedge(select: (now: number) => Pipeline | undefined, cause: HedgeCause): void {
		const now = this.dependencies.timers.now();
		const pipeline = this.attempts.mayHedge(now) ? this.attempts.selectHedge(cause, () => select(now)) : undefined;
		if (!pipeline) {
			this.refuseIfAbandoned(now, 'no event arrived, and no other pipeline had capacity in time');
			return;
		}

		if (!this.tryAcquireRetry(RetryUrgency.Ordinary)) {
			this.refuseIfAbandoned(now, 'no event arrived, and the retry budget was exhausted');
			return;
		}

		const hasCancelled = this.attempts.cancelEnded(cause);
		this.attempts.recordSilence(cause);
		this.send(pipeline);
		if (hasCancelled) {
			// Not earlier, since a queued request could take the capacity of the alternative.
			this.streamDependencies.requestQueue.dispatchReady();
		}
	}

	/** Goes on with an attempt that received an event. */
	private continueWith(attempt: StreamAttempt): void {
		if (this.attempts.continueWith(attempt)) {
			this.streamDependencies.requestQueue.dispatchReady();
		}
	}

	/** Refuses a silent stream shortly before its caller abandons it. Once the reply has begun there is nothing left to refuse, so the attempt goes on. */
	private refuseIfAbandoned(now: number, reason: string): void {
		const {queueDeadline} = computeStreamDeadlines(this.request, this.progress, true, this.streamDependencies.limits);
		if (!this.reply.isStarted && now >= queueDeadline) {
			this.failForCapacity(reason);
		}
	}

	/** Whether a server is known to execute nothing any more. Silence is no evidence of that. */
	private hasEnded(server: BackendServer): boolean {
		return this.dependencies.directory.isReplaced(server) || this.dependencies.serverHealth.hasEnded(server);
	}

	private send(pipeline: Pipeline): void {
		this.attemptCount++;
		this.attempts.add(this.sender.send(pipeline, this.attemptCount, this));
	}

	private failForCapacity(reason: string): void {
		this.failWith(this.failures.createCapacityFailure(reason));
	}

	/** Ends an attempt whose response is not worth receiving further. The body of a rejection is not passed on, so there is no need to wait for its end. */
	private handleFault(attempt: StreamAttempt, fault: string): void {
		if (attempt.response.head?.isNotExecuted) {
			attempt.cancel();
			this.receiveEnd(attempt);
		} else {
			this.abandonAttempt(attempt, fault);
		}
	}

	/** Ends an attempt whose response is malformed, and resumes the stream without its server. */
	private abandonAttempt(attempt: StreamAttempt, reason: string): void {
		const {firstServer} = attempt;
		attempt.cancel();
		this.selector.exclude(firstServer);
		this.endAttempt(attempt);
		this.failureDetector.suspect(firstServer, SuspicionCause.Failing, reason, this.dependencies.timers.now());
		this.resumeOrFail(attempt, reason);
	}

	private handleStreamEnd(attempt: StreamAttempt, end: StreamEnd): void {
		if (end === StreamEnd.Complete) {
			this.delivery.deliver(attempt, attempt.response.releaseHeld());
		}

		if (end === StreamEnd.Incomplete || !this.reply.isStarted) {
			this.recordLoss(attempt);
			this.resumeOrFail(attempt, 'the stream ended and may be incomplete');
		} else if (end === StreamEnd.Empty) {
			this.selector.exclude(attempt.firstServer);
			this.recordLoss(attempt);
			this.resumeOrFail(attempt, 'the stream ended before an event and may be incomplete');
		} else {
			this.completeStream(attempt);
		}
	}

	private completeStream(attempt: StreamAttempt): void {
		const {status} = attempt.response.head!;
		attempt.crashEvidence.recordHarmless();
		this.dependencies.metrics.record('siskinnotch_longest_pause_ms', this.progress.longestPauseMs);
		this.log.logCompleted(status, attempt.pipeline, this.attemptCount, this.dependencies.timers.now());
		this.complete(status);
	}

	private handleRejection(attempt: StreamAttempt): void {
		const now = this.dependencies.timers.now();
		this.executions.revertStart(attempt.firstServer);
		const {server, reason} = this.failureDetector.assessRejection(attempt.response.head!, attempt.pipeline, now - attempt.lastReceivedAt, now);
		this.retryRejected(attempt, reason, server);
	}

	private handleErrorResponse(attempt: StreamAttempt): void {
		const head = attempt.response.head!;
		const reason = `${attempt.firstServer.id} responded with status ${head.status}`;
		if (!this.isFinalResponse(head)) {
			this.resumeOrFail(attempt, reason);
			return;
		}

		this.reply.begin(head.status, head.headers);
		if (attempt.response.otherBytes.length > 0) {
			this.reply.write(attempt.response.otherBytes);
		}

		this.log.logErrorResponse(head.status, this.attemptCount);
		this.complete(head.status);
	}

	/** Whether a response that is no stream is passed on to the caller, because no other attempt may be made. */
	private isFinalResponse(head: ResponseHead): boolean {
		const hasAlternative = this.attempts.newest !== undefined || (this.mayResume && this.executions.allowsNewServer);
		return head.status >= minNonSuccessStatus && !this.reply.isStarted && !this.isUnfoundedRefusal(head) && !hasAlternative;
	}

	/** Handles an attempt that was not executed: sends the request along the next pipeline as soon as one has capacity and the retry budget allows it, unless another attempt is in progress. A reply that has begun can't be refused any more, so the number of its rejections is not limited. */
	private retryRejected({number}: StreamAttempt, reason: string, server: BackendServer): void {
		this.rejectionCount++;
		const hasOther = this.attempts.newest !== undefined;
		const isWithinLimit = this.rejectionCount <= this.streamDependencies.limits.maxRejections;
		const isAllowed = hasOther || ((isWithinLimit || this.reply.isStarted) && this.remaining > 0);
		this.log.logRejected(server, number, reason, isAllowed && !hasOther);
		if (hasOther) {
			this.attempts.recordRejection(this.dependencies.timers.now());
		} else if (!isAllowed) {
			this.failForCapacity(reason);
		} else if (isWithinLimit) {
			this.dispatch();
		} else {
			this.dispatcher.dispatchAfter(rejectionPauseMs);
		}
	}

	/** Handles an attempt that was executed and interrupted: the stream goes on with the other attempt, or resumes on another pipeline if the route allows it. */
	private resumeOrFail(attempt: StreamAttempt, reason: string): void {
		this.selector.recordFailure(attempt.firstServer);
		const hasOther = this.attempts.newest !== undefined;
		this.hasWrongIds ||= !attempt.response.isResumable;
		// An attempt that passed nothing on does not end the others.
		const mayContinue = hasOther && (attempt.response.isResumable || !attempt.response.hasPassedEvents);
		const isRetried = !hasOther && this.mayResume;
		this.log.logAttemptFailed(attempt, reason, isRetried);
		if (isRetried) {
			this.dispatch();
		} else if (!mayContinue) {
			this.failWith(this.failures.createInterruption(reason));
		}
	}

	/** Records that an attempt was lost. A server that loses several of them early is not used again, although it may be alive. */
	private recordLoss(attempt: StreamAttempt): void {
		attempt.recordLoss(this.dependencies.timers.now());
		if (this.crashEvidence.isExhausted(attempt.firstServer)) {
			this.selector.exclude(attempt.firstServer);
		}
	}

	private get mayResume(): boolean {
		return isRepeatable(this.request.route) && this.remaining > 0 && !this.crashEvidence.isConclusive && !this.hasWrongIds;
	}

	/** Whether another attempt may be sent beside those in progress. */
	private get mayHedge(): boolean {
		return !this.isDone && !this.isQuarantined && this.mayResume;
	}

	private endAttempt(attempt: StreamAttempt): void {
		this.attempts.end(attempt);
		this.streamDependencies.requestQueue.dispatchReady();
	}
}
