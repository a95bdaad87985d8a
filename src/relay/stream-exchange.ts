import {isRepeatable} from '../catalog/route.js';
import {type BackendServer} from '../pipelines/backend-server.js';
import {type EngineModel} from '../pipelines/engine-model.js';
import {type Pipeline} from '../pipelines/pipeline.js';
import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {type TimerHandle} from '../time/timer-handle.js';
import {AttemptFailureReason, type AttemptFailure} from './attempt-failure.js';
import {type CallerReply} from './caller-reply.js';
import {ExchangeListener} from './exchange-listener.js';
import {type ExchangeDependencies} from './exchange-dependencies.js';
import {Exchange} from './exchange.js';
import {StreamPipelineSelector} from './stream-pipeline-selector.js';
import {type RelayRequest} from './relay-request.js';
import {type ResponseHead} from './response-head.js';
import {ExecutionHistory} from './execution-history.js';
import {StageFailureDetector} from './stage-failure-detector.js';
import {StreamLog} from './stream-log.js';
import {type StreamExchangeDependencies} from './stream-exchange-dependencies.js';
import {computeStreamDeadlines} from './stream-deadlines.js';
import {StreamProgress} from './stream-progress.js';

const success = 200;
const firstFailure = 300;
const millisecondsOfSecond = 1000;

/**
A request to a service whose servers hold layer ranges: it goes along a pipeline, and events come back. Where a run breaks off, the stream goes on along another pipeline after the last event that the caller has.
*/
export class StreamExchange extends Exchange {
	private pipeline?: Pipeline;
	private endLoad?: () => void;
	private waiting?: TimerHandle;
	private readonly search: StreamPipelineSelector;
	private readonly runs: ExecutionHistory;
	private readonly progress: StreamProgress;
	private readonly log: StreamLog;
	private readonly judge: StageFailureDetector;
	private rejections = 0;
	private head?: ResponseHead;
	private failureBody: Uint8Array[] = [];

	constructor(parts: ExchangeDependencies, request: RelayRequest, reply: CallerReply, private readonly streams: StreamExchangeDependencies & {readonly model: EngineModel}) {
		super(parts, request, reply);
		this.progress = new StreamProgress(request.arrivedAt, request.lastEventId);
		this.log = new StreamLog(parts.log, request, this.progress);
		this.search = new StreamPipelineSelector(streams.selector);
		this.judge = new StageFailureDetector(parts.serverHealth, streams);
		this.runs = new ExecutionHistory(request.route.maxExecutions, server =>
			!parts.directory.isReplaced(server) && !parts.serverHealth.isUnreachable(server, parts.timers.now()));
	}

	/** The stages in use; undefined while it waits. */
	get stages(): Pipeline | undefined {
		return this.currentAttempt && this.pipeline;
	}

	/** Milliseconds since the last event or the start of the attempt. */
	computeSilence(now: number): number {
		return this.currentAttempt ? now - this.progress.lastReceivedAt : 0;
	}

	/** Moves the stream to another pipeline, since a stage of its own does not work. */
	migrate(faulty: BackendServer | undefined, reason: string): void {
		if (this.isDone || !this.currentAttempt) {
			return;
		}

		this.currentAttempt.cancel();
		if (faulty) {
			this.search.exclude(faulty);
		} else {
			this.search.avoid(this.first);
		}

		this.endAttempt();
		this.runAgain(reason);
	}

	receiveHead(reply: ResponseHead): void {
		this.head = reply;
		if (reply.load) {
			this.dependencies.load.observe(this.first, reply.load, this.dependencies.timers.now());
		}
	}

	receiveData(chunk: Uint8Array): void {
		const {head, progress} = this;
		if (!head?.isSigned || head.isNotExecuted) {
			return;
		}

		if (head.status !== success) {
			this.failureBody.push(chunk);
			return;
		}

		const now = this.dependencies.timers.now();
		for (const event of progress.receive(chunk, now)) {
			this.pass(event.bytes, head);
			progress.recordDelivery(event, now);
		}
	}

	receiveEnd(): void {
		const head = this.head!;
		const pipeline = this.pipeline!;
		this.endAttempt();
		if (head.isNotExecuted) {
			this.receiveRejection(head, pipeline);
		} else if (head.status !== success || !head.isSigned) {
			this.receiveOtherStatus(head);
		} else if (this.progress.hasIncompleteEvent || !this.reply.isStarted || !head.isSelfDelimited) {
			this.runAgain('the stream ended and may not be whole');
		} else {
			this.finishStream(head, pipeline);
		}
	}

	receiveFailure({reason, detail}: AttemptFailure): void {
		const {first} = this;
		this.endAttempt();
		if (reason === AttemptFailureReason.NotConnected) {
			this.runs.revertStart(first);
			this.judge.suspect(first, false, detail, this.dependencies.timers.now());
			this.reject(detail, first);
			return;
		}

		this.runAgain(detail);
	}

	protected dispatch(): void {
		if (this.tryStart()) {
			return;
		}

		const {request, streams, progress} = this;
		const patience = computeStreamDeadlines(request, progress, this.runs.mayHaveExecuted, streams.limits);
		if (patience.queueDeadline <= this.dependencies.timers.now()) {
			this.failWith(this.noRoom('no pipeline has room, and its caller does not wait longer'));
			return;
		}

		this.waiting = streams.requestQueue.enqueue({
			priority: request.priority,
			...patience,
			tryStart: () => this.tryStart(),
			onTimeout: () => {
				this.failWith(this.noRoom('no pipeline had room in time'));
			},
		});
		if (!this.waiting) {
			this.failWith(this.noRoom('too many requests wait for a pipeline'));
			return;
		}

		this.log.logQueued(streams.requestQueue.size, this.attemptCount);
	}

	protected createDeadlineFailure(): Failure {
		const limit = Math.round(this.request.deadline - this.request.arrivedAt);
		return this.runs.mayHaveExecuted
			? new Failure(ResultCode.DeadlinePassed, `the stream was not whole within ${limit} ms`, Execution.Unknown)
			: this.noRoom('the time ran out before the request was sent');
	}

	protected release(): void {
		this.waiting?.cancel();
		this.waiting = undefined;
		this.endLoad?.();
		this.endLoad = undefined;
	}

	private get first(): BackendServer {
		return this.pipeline![0].server;
	}

	private tryStart(): boolean {
		const {dependencies: parts, request, streams} = this;
		const now = parts.timers.now();
		// The caller's bound on the answer is far above what most answers need.
		const tokens = request.promptTokens + Math.min(request.maxAnswerTokens, streams.model.usualAnswer);
		const pipeline = this.search.select({
			service: request.service.name, model: streams.model, tokens, firstStageCandidates: this.runs.allowedIncarnations,
		}, now);
		// A further sending waits until the retry budget has one for it.
		if (!pipeline || (this.attemptCount > 0 && !this.tryAcquireRetry())) {
			return false;
		}

		this.send(pipeline, tokens, now);
		return true;
	}

	private send(pipeline: Pipeline, tokens: number, now: number): void {
		const {dependencies: parts, request, progress} = this;
		const [{server}] = pipeline;
		this.pipeline = pipeline;
		this.waiting = undefined;
		this.attemptCount++;
		this.runs.recordStart(server);
		this.head = undefined;
		this.failureBody = [];
		progress.beginAttempt(now);
		this.endLoad = parts.load.start(pipeline, tokens);
		parts.serverHealth.recordPipelineDispatch(pipeline, now);
		this.log.logSent(pipeline, {
			tokens, attempt: this.attemptCount, remaining: this.remaining, listAge: now - parts.directory.lastReadAt,
		});
		this.currentAttempt = parts.client.send({
			request, server, pipeline, remaining: this.remaining, lastEventId: progress.lastEventId, needsNewConnection: !isRepeatable(request.route),
		}, new ExchangeListener(this));
	}

	private pass(bytes: Uint8Array, head: ResponseHead): void {
		if (!this.reply.isStarted) {
			// A stream that loses its end is resumed, so its own framing tells the truth.
			this.reply.begin(head.status, head.headers, true);
			this.dependencies.metrics.record('siskinnotch_first_event_ms', this.dependencies.timers.now() - this.request.arrivedAt);
			this.dependencies.serverHealth.clearPipeline(this.pipeline!, this.dependencies.timers.now());
		}

		if (!this.reply.write(bytes)) {
			this.currentAttempt?.pause();
		}
	}

	private finishStream(head: ResponseHead, pipeline: Pipeline): void {
		this.dependencies.metrics.record('siskinnotch_longest_pause_ms', this.progress.longestPauseMs);
		this.log.logCompleted(head.status, pipeline, this.attemptCount, this.dependencies.timers.now());
		this.complete(head.status);
	}

	private receiveRejection(head: ResponseHead, pipeline: Pipeline): void {
		const now = this.dependencies.timers.now();
		this.runs.revertStart(pipeline[0].server);
		const {server, reason} = this.judge.assessRejection(head, pipeline, now - this.progress.lastReceivedAt, now);
		this.reject(reason, server);
	}

	private receiveOtherStatus(head: ResponseHead): void {
		const reason = `${this.first.id} answered ${head.status}`;
		const isFinal = head.status >= firstFailure && !this.reply.isStarted && !(this.mayRunAgain && this.runs.allowsNewServer);
		if (!isFinal) {
			this.runAgain(reason);
			return;
		}

		this.reply.begin(head.status, head.headers, head.isSelfDelimited);
		for (const chunk of this.failureBody) {
			this.reply.write(chunk);
		}

		this.log.logErrorResponse(head.status, this.attemptCount);
		this.complete(head.status);
	}

	/** The attempt did not run: the next pipeline, as soon as there is one and the budget allows it. */
	private reject(reason: string, server: BackendServer): void {
		this.rejections++;
		const isAllowed = this.rejections <= this.streams.limits.maxRejections && this.remaining > 0;
		this.log.logRejected(server, this.attemptCount, reason, isAllowed);
		if (isAllowed) {
			this.dispatch();
			return;
		}

		this.failWith(this.noRoom(reason));
	}

	/** The attempt ran and broke off: the stream goes on along another pipeline where the route allows it. */
	private runAgain(reason: string): void {
		const isAllowed = this.mayRunAgain;
		this.log.logAttemptFailed(this.first, this.attemptCount, reason, isAllowed);
		if (isAllowed) {
			this.dispatch();
			return;
		}

		this.failWith(new Failure(ResultCode.StreamInterrupted, reason, Execution.Unknown));
	}

	private get mayRunAgain(): boolean {
		return isRepeatable(this.request.route) && this.remaining > 0;
	}

	private noRoom(reason: string): Failure {
		return this.runs.mayHaveExecuted
			? new Failure(ResultCode.StreamInterrupted, reason, Execution.Unknown)
			: new Failure(ResultCode.NoPipeline, reason, Execution.NotRun, this.streams.limits.retryAfter / millisecondsOfSecond);
	}

	private endAttempt(): void {
		this.currentAttempt = undefined;
		this.release();
		this.streams.requestQueue.dispatchReady();
	}
}
