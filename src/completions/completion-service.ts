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
import {type UsageMeter, type Reservation} from '../usage/usage-meter.js';
import {type StreamCapacity} from './stream-capacity.js';
import {type CompletionLimits} from './completion-limits.js';
import {CompletionRun, type CompletionRunDependencies} from './completion-run.js';
import {type CompletionSink} from './completion-sink.js';
import {type CompletionRequest} from './completion-request.js';
import {ServiceAdmissions} from './service-admissions.js';

/** A draft that the caller can give up. */
export type CompletionHandle = {
	/** The caller is gone: engines are cancelled at once. */
	cancel(): void;
};

type Pending = {
	readonly draft: CompletionRequest;
	readonly sink: CompletionSink;
	readonly reservation: Reservation;
	readonly enteredAt: number;
	run?: CompletionRun;
	isEnded: boolean;
};

const tickMs = 50;
const retryPauseMs = 25;

/** What the draft service needs. */
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

function callerGone(): Failure {
	return new Failure(ResultCode.CallerGone, 'the caller closed the connection', Execution.Unknown);
}

/** Admits drafts, runs them along routes and settles what they used. */
export class CompletionService {
	private readonly admissions: ServiceAdmissions;
	private readonly pending = new Map<string, Pending>();

	constructor(private readonly parts: CompletionServiceDependencies) {
		this.admissions = new ServiceAdmissions(parts.limits, parts.capacity, parts.invariants);
		parts.runDependencies.timers.repeat(tickMs, () => {
			this.tick();
		});
	}

	/** Number of drafts that wait or run. */
	get size(): number {
		return this.pending.size;
	}

	/** Number of drafts that wait for admission. */
	get waiting(): number {
		return this.admissions.waiting;
	}

	/** Starts a draft; all that comes of it goes to the sink. */
	start(draft: CompletionRequest, sink: CompletionSink): CompletionHandle {
		let isGone = false;
		void (async () => {
			try {
				const reservation = await this.parts.meter.reserve(draft.workspace, draft.promptTokens + draft.maximumTokens);
				if (isGone) {
					this.parts.meter.settle(reservation, 0);
					sink.onFail(callerGone());
				} else {
					this.enter(draft, sink, reservation);
				}
			} catch (error) {
				sink.onFail(toFailure(error));
			}
		})();

		return {
			cancel: () => {
				isGone = true;
				this.cancel(draft.id);
			},
		};
	}

	private enter(draft: CompletionRequest, sink: CompletionSink, reservation: Reservation): void {
		const now = this.parts.runDependencies.timers.now();
		const pending: Pending = {
			draft, sink, reservation, enteredAt: now, isEnded: false,
		};
		this.pending.set(draft.id, pending);
		this.parts.retryBudget.recordRequest(now);
		this.settleOutcome(this.admissions.request(draft, now));
	}

	private settleOutcome(outcome: AdmissionOutcome): void {
		for (const {request: ticket, failure} of outcome.refused) {
			const pending = this.pending.get(ticket.id);
			if (pending) {
				this.finish(pending, 0);
				pending.sink.onFail(failure);
			}
		}

		for (const ticket of outcome.admitted) {
			const pending = this.pending.get(ticket.id);
			if (pending) {
				this.run(pending);
			}
		}
	}

	private run(pending: Pending): void {
		const {draft} = pending;
		const {timers, metrics, tracing} = this.parts.runDependencies;
		const now = timers.now();
		metrics.record('siskinnotch_queue_ms', now - pending.enteredAt);
		tracing.startSpan('queue', {waitedMs: Math.round(now - pending.enteredAt)}, draft.context).end();
		const recovery = new StreamRecovery({
			layers: draft.service.layers,
			stall: this.parts.limits.stallTimeout,
			firstStall: this.parts.limits.firstTokenTimeout,
			slowTokenGap: this.parts.limits.slowTokenGap,
			deadline: draft.deadline,
			findRoute: (excluded, kept, at) => this.plan(pending, excluded, kept, at),
			getRetryDelay: attempt => retryPauseMs * (2 ** attempt) * this.parts.random.nextFraction(),
			tryAcquireRetry: () => this.parts.retryBudget.tryAcquire(timers.now()),
		}, now);
		pending.run = new CompletionRun(draft, recovery, this.parts.runDependencies, this.sinkOf(pending));
		pending.run.dispatch({kind: StreamEventKind.Begin});
	}

	/** A route with the sheet's version, or with another while servers are changing theirs. An answer keeps its version. */
	private plan({draft, run}: Pending, excluded: ReadonlySet<string>, kept: Route, now: number): Route | undefined {
		const {name, layers, version: wanted} = draft.service;
		const hasBegun = run !== undefined && run.delivered > 0;
		const versions = hasBegun ? [kept[0].version] : this.parts.runDependencies.fleet.findVersions(name, wanted, now);
		for (const version of versions) {
			const route = this.parts.policy.selectRoute(this.parts.runDependencies.fleet, {
				service: name, version, layers, excluded, previousRoute: kept, now,
			});
			if (route) {
				return route;
			}
		}

		return undefined;
	}

	private sinkOf(pending: Pending): CompletionSink {
		return {
			onTokens(tokens) {
				pending.sink.onTokens(tokens);
			},
			onFinish: reason => {
				this.finish(pending, this.usedBy(pending));
				pending.sink.onFinish(reason);
			},
			onFail: failure => {
				this.parts.log.info(`Draft ${pending.draft.id} failed with code ${failure.code}: ${failure.message}.`);
				this.finish(pending, this.usedBy(pending));
				pending.sink.onFail(failure);
			},
		};
	}

	private usedBy({draft, run}: Pending): number {
		return run && run.delivered > 0 ? draft.promptTokens + run.delivered : 0;
	}

	private finish(pending: Pending, used: number): void {
		if (pending.isEnded) {
			return;
		}

		pending.isEnded = true;
		this.pending.delete(pending.draft.id);
		this.parts.meter.settle(pending.reservation, used);
		const now = this.parts.runDependencies.timers.now();
		const delivered = pending.run?.delivered ?? 0;
		const duration = pending.run ? now - pending.enteredAt : undefined;
		if (duration !== undefined && delivered > 0) {
			this.parts.capacity.recordCompletion(duration, delivered);
		}

		this.settleOutcome(this.admissions.end(pending.draft, duration, now));
	}

	private cancel(id: string): void {
		const pending = this.pending.get(id);
		if (!pending) {
			return;
		}

		pending.run?.dispatch({kind: StreamEventKind.CallerGone});
		this.finish(pending, this.usedBy(pending));
		pending.sink.onFail(callerGone());
	}

	private tick(): void {
		for (const pending of this.pending.values()) {
			pending.run?.dispatch({kind: StreamEventKind.Tick});
		}

		for (const outcome of this.admissions.advance(this.parts.runDependencies.timers.now())) {
			this.settleOutcome(outcome);
		}
	}
}
