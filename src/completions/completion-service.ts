import {type Logger} from 'winston';
import {type AdmissionOutcome} from '../admission/admission-outcome.js';
import {type RetryBudget} from '../admission/retry-budget.js';
import {type Invariants} from '../observation/invariants.js';
import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {toFailure} from '../results/to-failure.js';
import {type Route} from '../backends/stage.js';
import {type RandomSource} from '../routing/random-source.js';
import {type RoutePolicy} from '../routing/route-policy.js';
import {StreamEventKind} from '../routing/stream-event.js';
import {StreamRecovery} from '../routing/stream-recovery.js';
import {type Reservation} from '../usage/reservation.js';
import {type TimerHandle} from '../time/timer-handle.js';
import {type UsageMeter} from '../usage/usage-meter.js';
import {type StreamCapacity} from './stream-capacity.js';
import {type CompletionLimits} from './completion-limits.js';
import {CompletionRun, type CompletionRunDependencies} from './completion-run.js';
import {type CompletionSink} from './completion-sink.js';
import {type CompletionRequest} from './completion-request.js';
import {ServiceAdmissions} from './service-admissions.js';

/** Handle of a started completion. */
export type CompletionHandle = {
	/** Cancels the completion on all its engines immediately, because the caller has disconnected. */
	cancel(): void;
};

type PendingCompletion = {
	readonly request: CompletionRequest;
	readonly sink: CompletionSink;
	readonly reservation: Reservation;
	readonly enqueuedAt: number;
	/** Ends the run at its deadline, which may lie between two ticks. */
	readonly deadlineTimer: TimerHandle;
	run?: CompletionRun;
	isEnded: boolean;
};

const tickIntervalMs = 50;
const retryBaseDelayMs = 25;

/** Dependencies of the completion service. */
export type CompletionServiceDependencies = {
	readonly limits: CompletionLimits;
	readonly runDependencies: CompletionRunDependencies;
	readonly policy: RoutePolicy;
	readonly capacity: StreamCapacity;
	readonly retryBudget: RetryBudget;
	readonly meter: UsageMeter;
	readonly random: RandomSource;
	readonly invariants: Invariants;
	readonly log: Logger;
};

function createCallerGoneFailure(): Failure {
	return new Failure(ResultCode.CallerGone, 'the caller closed the connection', Execution.Unknown);
}

/** Admits completion requests, runs them along routes and charges the tokens that they used. */
export class CompletionService {
	private readonly admissions: ServiceAdmissions;
	private readonly pending = new Map<string, PendingCompletion>();

	constructor(private readonly dependencies: CompletionServiceDependencies) {
		this.admissions = new ServiceAdmissions(dependencies.limits, dependencies.capacity, dependencies.invariants);
		dependencies.runDependencies.timers.repeat(tickIntervalMs, () => {
			this.tick();
		});
	}

	/** Number of waiting and running completions. */
	get size(): number {
		return this.pending.size;
	}

	/** Number of requests waiting for admission. */
	get waiting(): number {
		return this.admissions.waiting;
	}

	/** Starts a completion. Its tokens and its end, including any failure, are reported to the sink. */
	start(request: CompletionRequest, sink: CompletionSink): CompletionHandle {
		let isCancelled = false;
		void (async () => {
			try {
				const reservation = await this.reserve(request);
				if (isCancelled) {
					this.dependencies.meter.settle(reservation, 0);
					sink.onFail(createCallerGoneFailure());
				} else {
					this.admit(request, sink, reservation);
				}
			} catch (error) {
				sink.onFail(toFailure(error));
			}
		})();

		return {
			cancel: () => {
				isCancelled = true;
				this.cancel(request.id);
			},
		};
	}

	/** Reserves the tokens of a request. Gives back those that are granted only after its deadline. */
	private async reserve({workspace, promptTokens, maximumTokens, deadline}: CompletionRequest): Promise<Reservation> {
		const {meter, runDependencies: {timers}} = this.dependencies;
		let isLate = false;
		const reserving = (async () => {
			const reservation = await meter.reserve(workspace, promptTokens + maximumTokens);
			if (isLate) {
				meter.settle(reservation, 0);
			}

			return reservation;
		})();
		return timers.withTimeout(reserving, deadline - timers.now(), () => {
			isLate = true;
			return new Failure(ResultCode.DeadlineUnreachable, 'the deadline passed before tokens were reserved', Execution.NotRun);
		});
	}

	private admit(request: CompletionRequest, sink: CompletionSink, reservation: Reservation): void {
		const {timers} = this.dependencies.runDependencies;
		const now = timers.now();
		const deadlineTimer = timers.after(Math.max(0, request.deadline - now), () => {
			pending.run?.dispatch({kind: StreamEventKind.Tick});
		});
		const pending: PendingCompletion = {
			request, sink, reservation, enqueuedAt: now, deadlineTimer, isEnded: false,
		};
		this.pending.set(request.id, pending);
		this.dependencies.retryBudget.recordRequest(now);
		this.applyOutcome(this.admissions.request(request, now));
	}

	private applyOutcome(outcome: AdmissionOutcome): void {
		for (const {request, failure} of outcome.refused) {
			const pending = this.pending.get(request.id);
			if (pending) {
				this.settle(pending, 0);
				pending.sink.onFail(failure);
			}
		}

		for (const request of outcome.admitted) {
			const pending = this.pending.get(request.id);
			if (pending) {
				this.run(pending);
			}
		}
	}

	private run(pending: PendingCompletion): void {
		const {request} = pending;
		const {timers, metrics, tracing} = this.dependencies.runDependencies;
		const now = timers.now();
		metrics.record('siskinnotch_queue_ms', now - pending.enqueuedAt);
		tracing.startSpan('queue', {waitedMs: Math.round(now - pending.enqueuedAt)}, request.context).end();
		const recovery = new StreamRecovery({
			layers: request.service.layers,
			stallTimeout: this.dependencies.limits.stallTimeout,
			firstTokenTimeout: this.dependencies.limits.firstTokenTimeout,
			slowTokenGap: this.dependencies.limits.slowTokenGap,
			deadline: request.deadline,
			findRoute: (excluded, previousRoute, at) => this.findRoute(pending, excluded, previousRoute, at),
			getRetryDelay: attempt => retryBaseDelayMs * (2 ** attempt) * this.dependencies.random.nextFraction(),
			tryAcquireRetry: urgency => this.dependencies.retryBudget.tryAcquire(timers.now(), urgency),
		}, now);
		pending.run = new CompletionRun(request, recovery, this.dependencies.runDependencies, this.createRunSink(pending));
		pending.run.dispatch({kind: StreamEventKind.Begin});
	}

	/** Finds a route with the model version from the sheet, or with another version while servers are being updated. An answer that has started keeps its version. */
	private findRoute({request, run}: PendingCompletion, excluded: ReadonlySet<string>, previousRoute: Route, now: number): Route | undefined {
		const {name, layers, version: wanted} = request.service;
		const hasDelivered = run !== undefined && run.delivered > 0;
		const versions = hasDelivered ? [previousRoute[0].version] : this.dependencies.runDependencies.fleet.findVersions(name, wanted, now);
		for (const version of versions) {
			const route = this.dependencies.policy.selectRoute(this.dependencies.runDependencies.fleet, {
				service: name, version, layers, excluded, previousRoute, now,
			});
			if (route) {
				return route;
			}
		}

		return undefined;
	}

	private createRunSink(pending: PendingCompletion): CompletionSink {
		return {
			onTokens(tokens) {
				pending.sink.onTokens(tokens);
			},
			onFinish: reason => {
				this.settle(pending, this.countUsedTokens(pending));
				pending.sink.onFinish(reason);
			},
			onFail: failure => {
				this.dependencies.log.info(`Request ${pending.request.id} failed with code ${failure.code}: ${failure.message}.`);
				this.settle(pending, this.countUsedTokens(pending));
				pending.sink.onFail(failure);
			},
		};
	}

	private countUsedTokens({request, run}: PendingCompletion): number {
		return run && run.delivered > 0 ? request.promptTokens + run.delivered : 0;
	}

	private settle(pending: PendingCompletion, used: number): void {
		if (pending.isEnded) {
			return;
		}

		pending.isEnded = true;
		pending.deadlineTimer.cancel();
		this.pending.delete(pending.request.id);
		this.dependencies.meter.settle(pending.reservation, used);
		const now = this.dependencies.runDependencies.timers.now();
		const delivered = pending.run?.delivered ?? 0;
		const duration = pending.run ? now - pending.enqueuedAt : undefined;
		if (duration !== undefined && delivered > 0) {
			this.dependencies.capacity.recordCompletion(duration, delivered);
		}

		this.applyOutcome(this.admissions.end(pending.request, duration, now));
	}

	private cancel(id: string): void {
		const pending = this.pending.get(id);
		if (!pending) {
			return;
		}

		pending.run?.dispatch({kind: StreamEventKind.CallerGone});
		this.settle(pending, this.countUsedTokens(pending));
		pending.sink.onFail(createCallerGoneFailure());
	}

	private tick(): void {
		for (const pending of this.pending.values()) {
			pending.run?.dispatch({kind: StreamEventKind.Tick});
		}

		for (const outcome of this.admissions.advance(this.dependencies.runDependencies.timers.now())) {
			this.applyOutcome(outcome);
		}
	}
}
