import {RetryUrgency} from '../../admission/retry-urgency.js';
import {type WaitingSum} from '../../admission/zone-waiting.js';
import {type Pipeline} from '../../pipelines/pipeline.js';
import {type TimerHandle} from '../../time/timer-handle.js';
import {type ExchangeDependencies} from '../exchange-dependencies.js';
import {type ExecutionHistory} from '../execution-history.js';
import {type RelayRequest} from '../relay-request.js';
import {StartOutcome} from '../start-outcome.js';
import {computeStreamDeadlines} from './stream-deadlines.js';
import {type StreamExchangeDependencies} from './stream-exchange-dependencies.js';
import {type StreamLog} from './stream-log.js';
import {type StreamPipelineSelector} from './stream-pipeline-selector.js';
import {type StreamProgress} from './stream-progress.js';

/** What a dispatcher needs to know of its stream. */
export type DispatchedStream = {
	readonly request: RelayRequest;
	readonly progress: StreamProgress;
	readonly executions: ExecutionHistory;
	readonly selector: StreamPipelineSelector;
	readonly log: StreamLog;
};

/** Carries out what a dispatcher decides. */
export type DispatchHandler = {
	/** Returns the number of attempts sent so far. */
	countAttempts(): number;
	/** Takes a retry from the budget; returns false if the budget is exhausted for this urgency. */
	tryAcquireRetry(urgency: RetryUrgency): boolean;
	send(pipeline: Pipeline): void;
	/** Ends the stream because no pipeline has capacity, or because the retry budget is exhausted. */
	failForCapacity(reason: string): void;
};

/** Longest time in milliseconds for which a retry is held back after a rejection by a full stage. Streams that end meanwhile free capacity on most stages. */
const maxHoldMs = 300;

/** Fraction of the time in which it can start on time for which a stream yields to more urgent requests at other instances. */
const maxYieldFraction = 0.5;

/** Starts a stream on a pipeline, or queues it until one has capacity. */
export class StreamDispatcher {
	private queueEntry?: TimerHandle;
	private delay?: TimerHandle;
	private latestOutcome?: StartOutcome;
	private hasYielded = false;
	private isArrivalRecorded = false;
	/** Monotonic times in milliseconds. */
	private sentAt?: number;
	private rejectedAsFullAt?: number;

	constructor(
		private readonly dependencies: Pick<ExchangeDependencies, 'timers' | 'load' | 'metrics' | 'log'> & Pick<StreamExchangeDependencies, 'requestQueue' | 'limits' | 'admission'>,
		private readonly stream: DispatchedStream,
		private readonly handler: DispatchHandler,
	) {}

	/** Starts the stream now if no other request waits and a pipeline has capacity; queues it otherwise. */
	dispatch(): void {
		const {dependencies: {requestQueue, limits, timers}, stream: {request, progress, executions}, handler} = this;
		this.latestOutcome = undefined;
		this.recordArrival();
		// Those that wait come first.
		if (!requestQueue.hasWaiting(request.priority) && this.tryStart(false) === StartOutcome.Started) {
			requestQueue.recordStart({priority: request.priority, workspace: request.workspace, tokens: this.stream.selector.expectedTokens});
			return;
		}

		const deadlines = computeStreamDeadlines(request, progress, executions.mayHaveExecuted, limits);
		if (deadlines.queueDeadline <= timers.now()) {
			const lack = this.isRetryDenied ? 'the retry budget is exhausted' : 'no pipeline has capacity';
			handler.failForCapacity(`${lack}, and the time to wait has passed`);
			return;
		}

		this.enqueue(deadlines);
	}

	/** Dispatches the stream after a delay in milliseconds. */
	dispatchAfter(delay: number): void {
		this.delay = this.dependencies.timers.after(delay, () => {
			this.dispatch();
		});
	}

	/** Records that a full stage rejected the stream. */
	recordFullStage(): void {
		const {dependencies: {timers, admission}, stream: {request}} = this;
		this.rejectedAsFullAt = timers.now();
		admission?.rejections.recordRejected(request.service.name, this.rejectedAsFullAt);
	}

	/** Returns the milliseconds after which the caller may come back if the stream is refused now. */
	computeRetryAfter(): number {
		const {dependencies: {timers, limits, requestQueue, admission}, stream: {request, selector}} = this;
		const now = timers.now();
		return admission?.returnTimes.compute({
			wait: requestQueue.predictWait(request.priority, selector.expectedTokens),
			rank: admission.reserves.countMoreUrgent(request.service.name, request.priority, now),
			remaining: request.deadline - now,
		}) ?? limits.retryAfter;
	}

	/** Records the end of the stream, and removes it from the queue. */
	end(): void {
		const {dependencies: {timers, admission}, stream: {request}} = this;
		this.delay?.cancel();
		this.queueEntry?.cancel();
		this.queueEntry = undefined;
		if (this.sentAt !== undefined) {
			admission?.reserves.recordEnd(request.service.name, request.priority, timers.now() - this.sentAt);
		}
	}

	/** Records that the stream arrived, once. */
	private recordArrival(): void {
		const {dependencies: {timers, admission}, stream: {request}} = this;
		if (!this.isArrivalRecorded) {
			this.isArrivalRecorded = true;
			admission?.reserves.recordArrival(request.service.name, request.priority, timers.now());
		}
	}

	private enqueue(deadlines: ReturnType<typeof computeStreamDeadlines>): void {
		const {dependencies: {requestQueue, metrics}, stream: {request, selector, log, executions}, handler} = this;
		this.queueEntry = requestQueue.enqueue({
			priority: request.priority,
			arrivedAt: request.arrivedAt,
			tokens: selector.expectedTokens,
			service: request.service.name,
			workspace: request.workspace,
			isMoreUrgentElsewhere: () => this.findMoreUrgentElsewhere() !== undefined,
			mayUseReserve: this.mayUseReserve,
			...deadlines,
			tryStart: isEntitled => this.tryStart(isEntitled),
			...(selector.isLarge && {reserve: () => this.reserve()}),
			...(!executions.mayHaveExecuted && {
				onHopeless(waitMs: number) {
					metrics.count('siskinnotch_refused_early', 1, {priority: String(request.priority)});
					handler.failForCapacity(`no pipeline would have capacity in time: the requests ahead need ${Math.round(waitMs)} ms`);
				},
			}),
			onTimeout: () => {
				handler.failForCapacity(this.isRetryDenied ? 'the retry budget was exhausted' : 'no pipeline had capacity in time');
			},
		});
		if (!this.queueEntry) {
			handler.failForCapacity('the queue of requests that wait for a pipeline is full');
			return;
		}

		requestQueue.dispatchReady();
		if (this.queueEntry) {
			log.logQueued(requestQueue.size, handler.countAttempts(), selector.expectedTokens);
		}
	}

	/** Whether the stream may fill what is reserved for more urgent requests. One that may have been executed has been accepted, so it goes on. */
	private get mayUseReserve(): boolean {
		const {executions, progress} = this.stream;
		return executions.mayHaveExecuted || progress.hasDelivered;
	}

	private getOccupancyLimit(now: number): number {
		const {dependencies: {admission, limits}, stream: {request, progress}} = this;
		const isLate = now > computeStreamDeadlines(request, progress, false, limits).onTimeDeadline;
		return this.mayUseReserve ? 1 : admission?.reserves.getOccupancyLimit(request.service.name, request.priority, now, isLate) ?? 1;
	}

	private findMoreUrgentElsewhere(): WaitingSum | undefined {
		const {dependencies: {admission, timers}, stream: {request}} = this;
		return admission?.zone.findMoreUrgent(request.service.name, request.priority, timers.now());
	}

	/** Whether the stream leaves capacity to a more urgent request that waits at another instance. It does so only while it can still be on time afterwards, so that it neither starves where this instance has few starts nor is late in vain. */
	private yieldsToUrgent(now: number): boolean {
		const {dependencies: {requestQueue, limits, metrics, log}, stream: {request, progress}} = this;
		const {onTimeDeadline} = computeStreamDeadlines(request, progress, false, limits);
		const urgent = this.mayUseReserve || now >= request.arrivedAt + ((onTimeDeadline - request.arrivedAt) * maxYieldFraction) ? undefined : this.findMoreUrgentElsewhere();
		if (urgent && !this.hasYielded) {
			this.hasYielded = true;
			requestQueue.recordYield();
			metrics.count('siskinnotch_yields', 1, {priority: String(request.priority)});
			log.write('request.yielded', {
				request: request.id, priority: request.priority, urgentRequests: urgent.requests, urgentTokens: urgent.tokens, ageMs: Math.round(urgent.age),
			});
		}

		return urgent !== undefined;
	}

	/** Whether a retry is not worth its part of the budget yet, because a full stage rejected the stream and another one is likely to do so. */
	private isHeldBack(now: number): boolean {
		const {dependencies: {admission}, stream: {request, progress}} = this;
		return this.rejectedAsFullAt !== undefined && !progress.hasDelivered && now - this.rejectedAsFullAt < maxHoldMs
			&& (admission?.rejections.isLikely(request.service.name, now) ?? false);
	}

	/** Whether a pipeline had capacity and the retry budget was exhausted when the stream was last tried. */
	private get isRetryDenied(): boolean {
		return this.latestOutcome === StartOutcome.NoRetry;
	}

	private get retryUrgency(): RetryUrgency {
		return this.stream.progress.hasDelivered ? RetryUrgency.Begun : RetryUrgency.Ordinary;
	}

	private tryStart(isEntitled: boolean): StartOutcome {
		this.latestOutcome = this.start(isEntitled);
		return this.latestOutcome;
	}

	private start(isEntitled: boolean): StartOutcome {
		const {dependencies: {timers, admission, metrics, log}, stream: {selector, request}, handler} = this;
		const now = timers.now();
		if (this.isHeldBack(now)) {
			if (this.latestOutcome !== StartOutcome.CapacityUnlikely) {
				metrics.count('siskinnotch_retries_held_back', 1, {priority: String(request.priority)});
				log.write('request.held_back', {
					request: request.id, rejectedFraction: admission?.rejections.getFraction(request.service.name, now), attempts: handler.countAttempts(),
				});
			}

			return StartOutcome.CapacityUnlikely;
		}

		if (!isEntitled && this.yieldsToUrgent(now)) {
			return StartOutcome.UrgentElsewhere;
		}

		const occupancyLimit = isEntitled ? 1 : this.getOccupancyLimit(now);
		selector.occupancyLimit = occupancyLimit;
		const pipeline = selector.select(now);
		// Attempts beside a running one use the reserve, since the caller has been accepted.
		selector.occupancyLimit = undefined;
		if (!pipeline) {
			return selector.isRestricted ? StartOutcome.NoAllowedCapacity : (occupancyLimit < 1 ? StartOutcome.CapacityReserved : StartOutcome.NoCapacity);
		}

		// A retry stays queued until the retry budget allows it.
		if (handler.countAttempts() > 0 && !handler.tryAcquireRetry(this.retryUrgency)) {
			return StartOutcome.NoRetry;
		}

		this.queueEntry = undefined;
		this.sentAt ??= now;
		admission?.rejections.recordSent(request.service.name, now);
		handler.send(pipeline);
		return StartOutcome.Started;
	}

	/** Reserves capacity of the pipeline that is likely to have enough of it first. */
	private reserve(): TimerHandle {
		const {dependencies: {timers, load}, stream: {selector}} = this;
		const pipeline = selector.selectBusy(timers.now());
		const cancel = pipeline && load.reserve(pipeline, selector.expectedTokens);
		return {
			cancel() {
				cancel?.();
			},
		};
	}
}
