import {RetryUrgency} from '../../admission/retry-urgency.js';
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

/** Starts a stream on a pipeline, or queues it until one has capacity. */
export class StreamDispatcher {
	private queueEntry?: TimerHandle;
	private delay?: TimerHandle;
	private latestOutcome?: StartOutcome;

	constructor(
		private readonly dependencies: Pick<ExchangeDependencies, 'timers' | 'load'> & Pick<StreamExchangeDependencies, 'requestQueue' | 'limits'>,
		private readonly stream: DispatchedStream,
		private readonly handler: DispatchHandler,
	) {}

	/** Starts the stream now if no other request waits and a pipeline has capacity; queues it otherwise. */
	dispatch(): void {
		const {dependencies: {requestQueue, limits, timers}, stream: {request, progress, executions}, handler} = this;
		this.latestOutcome = undefined;
		// Those that wait come first.
		if (!requestQueue.hasWaiting(request.priority) && this.tryStart() === StartOutcome.Started) {
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

	/** Removes the stream from the queue. */
	cancel(): void {
		this.delay?.cancel();
		this.queueEntry?.cancel();
		this.queueEntry = undefined;
	}

	private enqueue(deadlines: ReturnType<typeof computeStreamDeadlines>): void {
		const {dependencies: {requestQueue}, stream: {request, selector, log}, handler} = this;
		this.queueEntry = requestQueue.enqueue({
			priority: request.priority,
			arrivedAt: request.arrivedAt,
			tokens: selector.expectedTokens,
			...deadlines,
			tryStart: () => this.tryStart(),
			...(selector.isLarge && {reserve: () => this.reserve()}),
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

	/** Whether a pipeline had capacity and the retry budget was exhausted when the stream was last tried. */
	private get isRetryDenied(): boolean {
		return this.latestOutcome === StartOutcome.NoRetry;
	}

	private get retryUrgency(): RetryUrgency {
		return this.stream.progress.hasDelivered ? RetryUrgency.Begun : RetryUrgency.Ordinary;
	}

	private tryStart(): StartOutcome {
		this.latestOutcome = this.start();
		return this.latestOutcome;
	}

	private start(): StartOutcome {
		const {dependencies: {timers}, stream: {selector}, handler} = this;
		const pipeline = selector.select(timers.now());
		if (!pipeline) {
			return selector.isRestricted ? StartOutcome.NoAllowedCapacity : StartOutcome.NoCapacity;
		}

		// A retry stays queued until the retry budget allows it.
		if (handler.countAttempts() > 0 && !handler.tryAcquireRetry(this.retryUrgency)) {
			return StartOutcome.NoRetry;
		}

		this.queueEntry = undefined;
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
