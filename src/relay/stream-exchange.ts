import {isRepeatable} from '../catalog/route.js';
import {type DecisionFields} from '../observation/decision-log.js';
import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';
import {type EngineModel} from '../pipelines/engine-model.js';
import {type Pipeline} from '../pipelines/pipeline.js';
import {SuspicionCause} from '../pipelines/suspicion-cause.js';
import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {type TimerHandle} from '../time/timer-handle.js';
import {type AttemptCrashEvidence} from './attempt-crash-evidence.js';
import {
	AttemptFailureReason, getSuspicionCause, isUnsent, type AttemptFailure,
} from './attempt-failure.js';
import {type RunningAttempt} from './backend-client.js';
import {type CallerReply} from './caller-reply.js';
import {CrashEvidence} from './crash-evidence.js';
import {type ServerSentEvent} from './event-splitter.js';
import {type ExchangeDependencies} from './exchange-dependencies.js';
import {ExchangeListener} from './exchange-listener.js';
import {Exchange} from './exchange.js';
import {ExecutionHistory} from './execution-history.js';
import {type RelayRequest} from './relay-request.js';
import {type ResponseHead} from './response-head.js';
import {StageFailureDetector} from './stage-failure-detector.js';
import {StartOutcome} from './start-outcome.js';
import {computeStreamDeadlines} from './stream-deadlines.js';
import {type StreamExchangeDependencies} from './stream-exchange-dependencies.js';
import {StreamEnd} from './stream-end.js';
import {StreamLog} from './stream-log.js';
import {StreamPipelineSelector} from './stream-pipeline-selector.js';
import {StreamProgress} from './stream-progress.js';
import {StreamResponse} from './stream-response.js';

const minNonSuccessStatus = 300;
const millisecondsPerSecond = 1000;

/** Exchange of a request to a service whose servers hold layer ranges. The request is sent along a pipeline and the response is a stream of events. If an attempt is interrupted, the stream resumes on another pipeline after the last event that the caller has received. */
export class StreamExchange extends Exchange {
	private currentAttempt?: RunningAttempt;
	/** Monotonic time in milliseconds at which the current attempt was sent. */
	private sentAt = 0;
	private pipeline?: Pipeline;
	private releaseLoad?: () => void;
	private queueEntry?: TimerHandle;
	private readonly selector: StreamPipelineSelector;
	private readonly executions: ExecutionHistory;
	private readonly progress: StreamProgress;
	private readonly log: StreamLog;
	private readonly failureDetector: StageFailureDetector;
	private readonly triedIncarnations = new Set<string>();
	private rejectionCount = 0;
	private response: StreamResponse;
	private readonly crashEvidence: CrashEvidence;
	private attemptEvidence?: AttemptCrashEvidence;

	constructor(dependencies: ExchangeDependencies, request: RelayRequest, reply: CallerReply, private readonly streamDependencies: StreamExchangeDependencies & {readonly model: EngineModel}) {
		super(dependencies, request, reply);
		this.progress = new StreamProgress(request.arrivedAt, request.lastEventId);
		this.response = new StreamResponse(this.progress);
		this.log = new StreamLog(dependencies.log, request, this.progress);
		this.crashEvidence = new CrashEvidence(dependencies.crashGuard, request);
		this.failureDetector = new StageFailureDetector(dependencies.serverHealth, streamDependencies);
		this.executions = new ExecutionHistory(request.route.maxExecutions, server =>
			!dependencies.directory.isReplaced(server) && !dependencies.serverHealth.hasEnded(server));
		this.selector = new StreamPipelineSelector(streamDependencies.selector, request, streamDependencies.model, this.executions);
	}

	/** The stages in use; undefined while no attempt is in progress. */
	get stages(): Pipeline | undefined {
		return this.currentAttempt && this.pipeline;
	}

	/** Returns the milliseconds since the last event or the start of the current attempt; 0 while no attempt is in progress. */
	computeSilence(now: number): number {
		return this.currentAttempt ? now - this.progress.lastReceivedAt : 0;
	}

	/**
	Moves a silent stream to a pipeline without the faulty stage, or without the first stage if the faulty one is not known.

	The silent stage may continue, so the current attempt is kept until another pipeline can take the stream over.
	*/
	migrate(faulty: BackendServer | undefined, reason: string): void {
		if (this.isDone || !this.currentAttempt || !this.mayResume) {
			return;
		}

		this.selector.avoid(faulty ?? this.firstServer);
		const now = this.dependencies.timers.now();
		const alternative = this.selectTakeover(() => this.selector.selectAlternative(now, faulty));
		if (!alternative || !this.tryAcquireRetry()) {
			this.refuseIfAbandoned(now);
			return;
		}

		this.currentAttempt.cancel();
		this.attemptEvidence!.recordSilence(this.firstServer);
		this.log.logAttemptFailed(this.firstServer, this.attemptCount, reason, true);
		this.release();
		this.send(alternative, now);
		// Not earlier, since a queued request could take the capacity of the alternative.
		this.streamDependencies.requestQueue.dispatchReady();
	}

	/** Whether the current attempt uses this instance's own path to the first stage. */
	get usesOwnPath(): boolean {
		return this.currentAttempt?.usesOwnPath ?? false;
	}

	/** Sends a silent stream again, because the connection to its first stage seems to be broken and not the stage itself. */
	reconnect(reason: string): void {
		if (this.isDone || !this.currentAttempt || !this.mayResume) {
			return;
		}

		const now = this.dependencies.timers.now();
		const pipeline = this.selectTakeover(() => this.selector.select(now));
		if (!pipeline || !this.tryAcquireRetry()) {
			this.refuseIfAbandoned(now);
			return;
		}

		this.currentAttempt.cancel();
		this.log.logAttemptFailed(this.firstServer, this.attemptCount, reason, true);
		this.release();
		this.send(pipeline, now);
	}

	override endQuarantined(refusal: Failure): void {
		if (this.isDone || (this.currentAttempt && this.attemptEvidence?.hasReceivedEvent)) {
			return;
		}

		this.failWith(this.mayHaveExecuted ? new Failure(ResultCode.StreamInterrupted, refusal.message, Execution.Unknown, refusal.retryAfterSeconds) : refusal);
	}

	receiveHead(head: ResponseHead): void {
		this.response.head = head;
		this.observeServer(this.firstServer, head, this.sentAt);
	}

	receiveData(chunk: Uint8Array): void {
		const now = this.dependencies.timers.now();
		const {events, hasHeldEvent, fault} = this.response.receive(chunk, now);
		if (hasHeldEvent) {
			this.log.logHeld(this.firstServer, this.attemptCount);
		}

		if (events.length > 0 || hasHeldEvent) {
			this.attemptEvidence!.recordEvent(now);
			this.dependencies.serverHealth.recordPipelineProgress(this.pipeline!, now);
		}

		this.deliver(events, now);
		if (fault !== undefined) {
			this.handleFault(fault);
		}
	}

	receiveEnd(): void {
		const pipeline = this.pipeline!;
		const head = this.response.head!;
		const end = this.response.assessEnd();
		this.endAttempt();
		if (end === StreamEnd.Rejected) {
			this.handleRejection(head, pipeline);
		} else if (end === StreamEnd.Error) {
			this.handleErrorResponse(head);
		} else {
			this.handleStreamEnd(end, pipeline);
		}
	}

	receiveFailure({reason, detail}: AttemptFailure): void {
		if (reason === AttemptFailureReason.ExcessiveResponse) {
			this.abandonAttempt(detail);
			return;
		}

		const {firstServer} = this;
		this.endAttempt();
		if (isUnsent(reason)) {
			this.executions.revertStart(firstServer);
			this.failureDetector.suspect(firstServer, getSuspicionCause(reason), detail, this.dependencies.timers.now());
			this.retryRejected(detail, firstServer);
			return;
		}

		this.attemptEvidence!.recordLoss(firstServer);
		this.resumeOrFail(detail);
	}

	protected dispatch(): void {
		const {request, streamDependencies, progress} = this;
		// Those that wait come first.
		if (!streamDependencies.requestQueue.hasWaiting(request.priority) && this.tryStart() === StartOutcome.Started) {
			return;
		}

		const deadlines = computeStreamDeadlines(request, progress, this.executions.mayHaveExecuted, streamDependencies.limits);
		if (deadlines.queueDeadline <= this.dependencies.timers.now()) {
			this.failWith(this.createCapacityFailure('no pipeline has capacity, and the time to wait for one has passed'));
			return;
		}

		this.queueEntry = streamDependencies.requestQueue.enqueue({
			priority: request.priority,
			arrivedAt: request.arrivedAt,
			tokens: this.selector.expectedTokens,
			...deadlines,
			tryStart: () => this.tryStart(),
			...(this.selector.isLarge && {reserve: () => this.reserve()}),
			onTimeout: () => {
				this.failWith(this.createCapacityFailure('no pipeline had capacity in time'));
			},
		});
		if (!this.queueEntry) {
			this.failWith(this.createCapacityFailure('the queue of requests that wait for a pipeline is full'));
			return;
		}

		streamDependencies.requestQueue.dispatchReady();
		if (this.queueEntry) {
			this.log.logQueued(streamDependencies.requestQueue.size, this.attemptCount, this.selector.expectedTokens);
		}
	}

	protected createDeadlineFailure(): Failure {
		const limit = Math.round(this.request.deadline - this.request.arrivedAt);
		return this.mayHaveExecuted
			? new Failure(ResultCode.DeadlinePassed, `the stream was not complete within ${limit} ms`, Execution.Unknown)
			: this.createCapacityFailure('the deadline passed before the request was sent');
	}

	protected get runningAttempts(): readonly RunningAttempt[] {
		return this.currentAttempt ? [this.currentAttempt] : [];
	}

	protected release(): void {
		this.currentAttempt = undefined;
		this.queueEntry?.cancel();
		this.queueEntry = undefined;
		this.releaseLoad?.();
		this.releaseLoad = undefined;
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

	private get firstServer(): BackendServer {
		return this.pipeline![0].server;
	}

	/** Refuses a silent stream shortly before its caller abandons it. Once the reply has begun there is nothing left to refuse, so the attempt goes on. */
	private refuseIfAbandoned(now: number): void {
		const {queueDeadline} = computeStreamDeadlines(this.request, this.progress, true, this.streamDependencies.limits);
		if (!this.reply.isStarted && now >= queueDeadline) {
			this.failWith(this.createCapacityFailure('no event arrived, and no other pipeline had capacity in time'));
		}
	}

	/** Selects a pipeline that can take over the current attempt, whose own load does not count. */
	private selectTakeover(select: () => Pipeline | undefined): Pipeline | undefined {
		this.releaseLoad?.();
		const pipeline = select();
		this.releaseLoad = this.dependencies.load.hold(this.pipeline!, this.selector.expectedTokens);
		return pipeline;
	}

	private tryStart(): StartOutcome {
		const now = this.dependencies.timers.now();
		const pipeline = this.selector.select(now);
		if (!pipeline) {
			return this.selector.isRestricted ? StartOutcome.NoAllowedCapacity : StartOutcome.NoCapacity;
		}

		// A retry stays queued until the retry budget allows it.
		if (this.attemptCount > 0 && !this.tryAcquireRetry()) {
			return StartOutcome.NoRetry;
		}

		this.send(pipeline, now);
		return StartOutcome.Started;
	}

	/** Reserves capacity of the pipeline that is likely to have enough of it first. */
	private reserve(): TimerHandle {
		const {timers, load} = this.dependencies;
		const pipeline = this.selector.selectBusy(timers.now());
		const cancel = pipeline && load.reserve(pipeline, this.selector.expectedTokens);
		return {
			cancel() {
				cancel?.();
			},
		};
	}

	private send(pipeline: Pipeline, now: number): void {
		const {dependencies, request, progress, selector: {expectedTokens: tokens}} = this;
		const [{server}] = pipeline;
		this.pipeline = pipeline;
		this.sentAt = now;
		this.queueEntry = undefined;
		this.attemptCount++;
		this.executions.recordStart(server);
		// On a kept connection, a repeated response to the earlier attempt could not be told from the one to this attempt: both have the id of the request.
		const needsNewConnection = !isRepeatable(request.route) || this.triedIncarnations.has(getIncarnationId(server));
		this.triedIncarnations.add(getIncarnationId(server));
		this.response = new StreamResponse(progress);
		this.attemptEvidence = this.crashEvidence.beginAttempt(now);
		progress.beginAttempt(now);
		this.releaseLoad = dependencies.load.start(pipeline, tokens);
		dependencies.serverHealth.recordPipelineDispatch(pipeline, now);
		dependencies.backpressure.limits.recordRequest(server, now);
		this.log.logSent(pipeline, {
			tokens,
			attempt: this.attemptCount,
			countedServers: this.executions.countedServers,
			uncountedServers: this.executions.uncountedServers,
			remaining: this.remaining,
			listAge: now - dependencies.directory.lastReadAt,
		});
		this.currentAttempt = dependencies.client.send({
			request, server, pipeline, remaining: this.remaining, lastEventId: progress.lastEventId, needsNewConnection,
		}, new ExchangeListener(this));
	}

	/** Ends an attempt whose response is not worth receiving further. The body of a rejection is not passed on, so there is no need to wait for its end. */
	private handleFault(fault: string): void {
		if (this.response.head?.isNotExecuted) {
			this.currentAttempt?.cancel();
			this.receiveEnd();
		} else {
			this.abandonAttempt(fault);
		}
	}

	/** Ends an attempt whose response is malformed, and resumes the stream without its server. */
	private abandonAttempt(reason: string): void {
		const {firstServer} = this;
		this.currentAttempt?.cancel();
		this.selector.exclude(firstServer);
		this.endAttempt();
		this.failureDetector.suspect(firstServer, SuspicionCause.Failing, reason, this.dependencies.timers.now());
		this.resumeOrFail(reason);
	}

	private handleStreamEnd(end: StreamEnd, pipeline: Pipeline): void {
		if (end === StreamEnd.Complete) {
			this.deliver(this.progress.releaseHeld(), this.dependencies.timers.now());
		}

		if (end === StreamEnd.Incomplete || !this.reply.isStarted) {
			this.attemptEvidence!.recordLoss(this.firstServer);
			this.resumeOrFail('the stream ended and may be incomplete');
		} else if (end === StreamEnd.Empty) {
			this.selector.exclude(this.firstServer);
			this.attemptEvidence!.recordLoss(this.firstServer);
			this.resumeOrFail('the stream ended before an event and may be incomplete');
		} else {
			this.completeStream(pipeline);
		}
	}

	private deliver(events: readonly ServerSentEvent[], now: number): void {
		for (const {bytes} of events) {
			this.forward(bytes);
			this.progress.recordDelivery(now);
		}
	}

	private forward(bytes: Uint8Array): void {
		if (!this.reply.isStarted) {
			const {status, headers} = this.response.head!;
			this.reply.begin(status, headers);
			this.dependencies.metrics.record('siskinnotch_first_event_ms', this.dependencies.timers.now() - this.request.arrivedAt);
			this.dependencies.serverHealth.clearPipeline(this.pipeline!, this.dependencies.timers.now());
		}

		if (!this.reply.write(bytes)) {
			this.currentAttempt?.pause();
		}
	}

	private completeStream(pipeline: Pipeline): void {
		const {status} = this.response.head!;
		this.attemptEvidence!.recordHarmless();
		this.dependencies.metrics.record('siskinnotch_longest_pause_ms', this.progress.longestPauseMs);
		this.log.logCompleted(status, pipeline, this.attemptCount, this.dependencies.timers.now());
		this.complete(status);
	}

	private handleRejection(head: ResponseHead, pipeline: Pipeline): void {
		const now = this.dependencies.timers.now();
		this.executions.revertStart(pipeline[0].server);
		const {server, reason} = this.failureDetector.assessRejection(head, pipeline, now - this.progress.lastReceivedAt, now);
		this.retryRejected(reason, server);
	}

	private handleErrorResponse(head: ResponseHead): void {
		const reason = `${this.firstServer.id} responded with status ${head.status}`;
		const isFinal = head.status >= minNonSuccessStatus && !this.reply.isStarted && !this.isUnfoundedRefusal(head) && !(this.mayResume && this.executions.allowsNewServer);
		if (!isFinal) {
			this.resumeOrFail(reason);
			return;
		}

		this.reply.begin(head.status, head.headers);
		if (this.response.otherBytes.length > 0) {
			this.reply.write(this.response.otherBytes);
		}

		this.log.logErrorResponse(head.status, this.attemptCount);
		this.complete(head.status);
	}

	/** Handles an attempt that was not executed: sends the request along the next pipeline as soon as one has capacity and the retry budget allows it. */
	private retryRejected(reason: string, server: BackendServer): void {
		this.rejectionCount++;
		const isAllowed = this.rejectionCount <= this.streamDependencies.limits.maxRejections && this.remaining > 0;
		this.log.logRejected(server, this.attemptCount, reason, isAllowed);
		if (isAllowed) {
			this.dispatch();
			return;
		}

		this.failWith(this.createCapacityFailure(reason));
	}

	/** Handles an attempt that was executed and interrupted: resumes the stream on another pipeline if the route allows it. */
	private resumeOrFail(reason: string): void {
		const isAllowed = this.mayResume;
		this.log.logAttemptFailed(this.firstServer, this.attemptCount, reason, isAllowed);
		if (isAllowed) {
			this.dispatch();
			return;
		}

		this.failWith(new Failure(ResultCode.StreamInterrupted, reason, Execution.Unknown));
	}

	private get mayResume(): boolean {
		return isRepeatable(this.request.route) && this.remaining > 0 && !this.crashEvidence.isConclusive && this.progress.isResumable;
	}

	/** Creates the failure to reply with if no pipeline can be used. */
	private createCapacityFailure(reason: string): Failure {
		return this.mayHaveExecuted
			? new Failure(ResultCode.StreamInterrupted, reason, Execution.Unknown)
			: new Failure(ResultCode.NoPipeline, reason, Execution.NotRun, this.streamDependencies.limits.retryAfter / millisecondsPerSecond);
	}

	private endAttempt(): void {
		this.release();
		this.streamDependencies.requestQueue.dispatchReady();
	}
}
