import {type DecisionFields} from '../../observation/decision-log.js';
import {type BackendServer} from '../../pipelines/backend-server.js';
import {type EngineModel} from '../../pipelines/engine-model.js';
import {type Pipeline} from '../../pipelines/pipeline.js';
import {SuspicionCause} from '../../pipelines/suspicion-cause.js';
import {type Failure} from '../../results/failure.js';
import {
	AttemptFailureReason, getSuspicionCause, isUnsent, type AttemptFailure,
} from '../attempt-failure.js';
import {type RunningAttempt} from '../backend-client.js';
import {type CallerReply} from '../caller-reply.js';
import {CrashEvidence} from '../crash-evidence.js';
import {type ExchangeDependencies} from '../exchange-dependencies.js';
import {Exchange} from '../exchange.js';
import {ExecutionHistory} from '../execution-history.js';
import {type RelayRequest} from '../relay-request.js';
import {type ResponseHead} from '../response-head.js';
import {StageFailureDetector} from './stage-failure-detector.js';
import {type StreamAttempt, type StreamAttemptHandler} from './stream-attempt.js';
import {StreamAttempts} from './stream-attempts.js';
import {StreamConclusion, type ConclusionHandler} from './stream-conclusion.js';
import {StreamDelivery} from './stream-delivery.js';
import {StreamDispatcher, type DispatchHandler} from './stream-dispatcher.js';
import {type StreamExchangeDependencies} from './stream-exchange-dependencies.js';
import {StreamFailures} from './stream-failures.js';
import {StreamHedger, type HedgeHandler} from './stream-hedger.js';
import {StreamLog} from './stream-log.js';
import {StreamPipelineSelector} from './stream-pipeline-selector.js';
import {StreamProgress} from './stream-progress.js';
import {StreamResumption, type ResumptionHandler} from './stream-resumption.js';
import {StreamSender} from './stream-sender.js';
import {StreamTokens} from './stream-tokens.js';

/**
Exchange of a request to a service whose servers hold layer ranges. The request is sent along a pipeline and the response is a stream of events. If an attempt is interrupted, the stream resumes on another pipeline after the last event that the caller has received.

A silent attempt is kept beside the one that is to take over, since its server may continue and the other one may reject the request. The first event of either decides which one goes on.
*/
export class StreamExchange extends Exchange implements StreamAttemptHandler {
	private isQuarantined = false;
	private readonly attempts: StreamAttempts;
	private readonly selector: StreamPipelineSelector;
	private readonly executions: ExecutionHistory;
	private readonly progress: StreamProgress;
	private readonly tokens: StreamTokens;
	private readonly log: StreamLog;
	private readonly failureDetector: StageFailureDetector;
	private readonly crashEvidence: CrashEvidence;
	private readonly sender: StreamSender;
	private readonly dispatcher: StreamDispatcher;
	private readonly delivery: StreamDelivery;
	private readonly failures: StreamFailures;
	private readonly resumption: StreamResumption;
	private readonly hedger: StreamHedger;
	private readonly conclusion: StreamConclusion;

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
		const {answers, model} = streamDependencies;
		this.tokens = new StreamTokens(answers, request, model, this.progress);
		const {progress, executions, crashEvidence, log, tokens} = this;
		this.selector = new StreamPipelineSelector(streamDependencies.selector, {
			request, model, executions, progress, tokens,
		});
		this.attempts = new StreamAttempts(server => this.hasEnded(server), this.log);
		this.failures = new StreamFailures(request, this.executions, () => this.dispatcher.computeRetryAfter());
		this.delivery = new StreamDelivery(dependencies, request, reply, this.progress);
		this.sender = new StreamSender(dependencies, {
			request, tokens, progress, executions, crashEvidence, log,
		});
		const {selector} = this;
		const allDependencies = {...dependencies, ...streamDependencies};
		const handler = this.createHandler();
		this.dispatcher = new StreamDispatcher(allDependencies, {
			request, progress, executions, selector, log,
		}, handler);
		const {attempts, dispatcher} = this;
		this.resumption = new StreamResumption(allDependencies, {
			request, reply, attempts, selector, crashEvidence, dispatcher, log,
		}, handler);
		this.hedger = new StreamHedger(allDependencies, {
			request, reply, progress, attempts, selector,
		}, handler);
		const {failureDetector, delivery, resumption} = this;
		this.conclusion = new StreamConclusion(dependencies, {
			reply, progress, executions, attempts, selector, failureDetector, delivery, resumption, log,
		}, handler);
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
		this.hedger.hedge(faulty, reason);
	}

	/** Sends a silent stream over another connection as well, because the one to its first stage seems to be broken and not the stage itself. */
	reconnect(reason: string): void {
		this.hedger.reconnect(reason);
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
			this.sender.updateLoad(attempt, now);
		}

		if (fault !== undefined) {
			this.handleFault(attempt, fault);
		}
	}

	receiveEnd(attempt: StreamAttempt): void {
		const end = attempt.response.assessEnd();
		this.endAttempt(attempt);
		this.conclusion.conclude(attempt, end);
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
			this.resumption.retryRejected(attempt, detail, firstServer);
			return;
		}

		this.resumption.recordLoss(attempt);
		this.resumption.resumeOrFail(attempt, detail);
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
		this.tokens.recordEnd(false);
		this.dispatcher.end();
		this.attempts.clear();
	}

	protected describeProgress(): DecisionFields {
		return {
			afterEvent: this.progress.lastEventId,
			silentMs: Math.round(this.dependencies.timers.now() - this.progress.lastDeliveredAt),
			rejections: this.resumption.rejections,
			servers: this.executions.countedServers,
		};
	}

	protected get mayHaveExecuted(): boolean {
		return this.executions.mayHaveExecuted;
	}

	/** Carries out what the parts of this exchange decide. */
	private createHandler(): DispatchHandler & ResumptionHandler & HedgeHandler & ConclusionHandler {
		return {
			countAttempts: () => this.attemptCount,
			mayHedge: () => !this.isDone && !this.isQuarantined && this.resumption.mayResume,
			tryAcquireRetry: urgency => this.tryAcquireRetry(urgency),
			isUnfoundedRefusal: head => this.isUnfoundedRefusal(head),
			complete: status => {
				this.tokens.recordEnd(true);
				this.complete(status);
			},
			send: pipeline => {
				this.send(pipeline);
			},
			failForCapacity: reason => {
				this.failForCapacity(reason);
			},
			failInterrupted: reason => {
				this.failWith(this.failures.createInterruption(reason));
			},
		};
	}

	/** Goes on with an attempt that received an event. */
	private continueWith(attempt: StreamAttempt): void {
		if (this.attempts.continueWith(attempt)) {
			this.streamDependencies.requestQueue.dispatchReady();
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
		this.resumption.resumeOrFail(attempt, reason);
	}

	private endAttempt(attempt: StreamAttempt): void {
		this.attempts.end(attempt);
		this.streamDependencies.requestQueue.dispatchReady();
	}
}
