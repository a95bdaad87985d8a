import {type RetryUrgency} from '../admission/retry-urgency.js';
import {isRepeatable} from '../catalog/route.js';
import {type BackendServer} from '../pipelines/backend-server.js';
import {type DecisionFields} from '../observation/decision-log.js';
import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {type TimerHandle} from '../time/timer-handle.js';
import {type RunningAttempt} from './backend-client.js';
import {type CallerReply} from './caller-reply.js';
import {type ExchangeDependencies} from './exchange-dependencies.js';
import {type RelayRequest} from './relay-request.js';
import {type ResponseHead} from './response-head.js';

/** Statuses that tell a caller that its request was not executed and never will be. */
const refusalStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A request from its acceptance to its final reply. */
export abstract class Exchange {
	/** Number of attempts sent so far. */
	protected attemptCount = 0;
	private isOver = false;
	/** Number of attempts sent when a retry was last denied. */
	private deniedAfter?: number;
	private deadlineTimer?: TimerHandle;
	private endListener?: () => void;

	constructor(protected readonly dependencies: ExchangeDependencies, readonly request: RelayRequest, protected readonly reply: CallerReply) {}

	/** Whether the exchange is over: replied to, aborted, or abandoned by its caller. */
	get isDone(): boolean {
		return this.isOver;
	}

	/**
	Starts the exchange.

	@param onEnd - called once when the exchange is over
	*/
	start(onEnd: () => void): void {
		this.endListener = onEnd;
		const {timers} = this.dependencies;
		this.deadlineTimer = timers.after(Math.max(0, this.request.deadline - timers.now()), () => {
			this.handleDeadline();
		});
		this.reply.onGone(() => {
			this.handleCallerGone();
		});
		this.reply.onDrain(() => {
			for (const attempt of this.runningAttempts) {
				attempt.resume();
			}
		});
		this.dispatch();
	}

	/** Ends the exchange when the process shuts down. A reply that has not begun becomes a failure, so that its caller knows whether to retry. */
	abort(reason: string): void {
		if (this.isOver) {
			return;
		}

		this.dependencies.log.warn('request.cut', {request: this.request.id, reason, attempts: this.attemptCount});
		this.failWith(this.mayHaveExecuted
			? new Failure(ResultCode.BackendFailed, reason, Execution.Unknown)
			: new Failure(ResultCode.Draining, reason, Execution.NotRun));
	}

	/** Ends the exchange if nothing clears its request yet, because the request or a part of its prompt was quarantined. */
	abstract endQuarantined(refusal: Failure): void;

	/** Milliseconds left until the deadline of the final reply. */
	protected get remaining(): number {
		return this.request.deadline - this.dependencies.timers.now();
	}

	/** Ends the exchange with a complete reply. */
	protected complete(status: number): void {
		this.reply.end();
		this.cancelAttempts();
		this.finish(`status_${Math.floor(status / 100)}xx`);
	}

	/** Ends the exchange with a refusal or failure of this instance. Aborts the reply if it has been started. */
	protected failWith(failure: Failure): void {
		if (this.isOver) {
			return;
		}

		this.dependencies.log.warn('request.failed', {
			request: this.request.id,
			route: this.request.route.name,
			code: failure.code,
			execution: failure.execution,
			reason: failure.message,
			attempts: this.attemptCount,
			afterMs: Math.round(this.dependencies.timers.now() - this.request.arrivedAt),
			retryAfterS: failure.retryAfterSeconds,
			isBegun: this.reply.isStarted,
			...this.describeProgress(),
		});
		this.cancelAttempts();
		if (this.reply.isStarted) {
			this.dependencies.metrics.count('siskinnotch_replies_cut', 1, {kind: this.request.route.kind, code: String(failure.code)});
			this.reply.abort();
		} else {
			this.reply.fail(failure);
		}

		this.finish(`code_${failure.code}`);
	}

	/**
	Records what the head of a response says about the server that sent it.

	@param sentAt - monotonic time in milliseconds at which the attempt was sent
	*/
	protected observeServer(server: BackendServer, {load, isLeaving, pause, requestLimit, isSigned}: ResponseHead, sentAt: number): void {
		const {dependencies} = this;
		const now = dependencies.timers.now();
		// A response that is not signed may come from something else than the server, so it lifts no limit.
		if (requestLimit !== undefined || isSigned) {
			dependencies.backpressure.limits.observe(server, {perSecond: requestLimit, sentAt}, now);
		}

		if (load) {
			dependencies.load.observe(server, load, now);
		}

		if (isLeaving) {
			dependencies.directory.markLeaving(server);
		}

		if (pause !== undefined) {
			dependencies.backpressure.pauses.pause(server, pause, now);
		}
	}

	/** Takes a retry from the budget of the service; returns false if the budget is exhausted for this urgency. */
	protected tryAcquireRetry(urgency: RetryUrgency): boolean {
		const {retryBudgets, timers} = this.dependencies;
		const isAcquired = retryBudgets.forService(this.request.service.name).tryAcquire(timers.now(), urgency);
		if (!isAcquired) {
			this.reportDeniedRetry();
			retryBudgets.replenish(this.request.service.name, urgency);
		}

		return isAcquired;
	}

	/** Ends the exchange because the deadline of its final reply has passed. */
	protected handleDeadline(): void {
		if (!this.isOver) {
			this.failWith(this.createDeadlineFailure());
		}
	}

	/** Whether a response would tell the caller of a request that may be executed only once that it was not executed, although the server does not state it. */
	protected isUnfoundedRefusal({status, isNotExecuted}: ResponseHead): boolean {
		return !isNotExecuted && refusalStatuses.has(status) && !isRepeatable(this.request.route);
	}

	/** Whether a backend server may have executed the request. */
	protected abstract get mayHaveExecuted(): boolean;

	/** Sends the request to a backend server, or queues it if its kind allows that. */
	protected abstract dispatch(): void;

	/** Returns the failure to reply with when the deadline passes. */
	protected abstract createDeadlineFailure(): Failure;

	/** The attempts in progress. */
	protected abstract get runningAttempts(): readonly RunningAttempt[];

	/** Forgets the attempts and releases the resources that they or a queue entry hold. */
	protected abstract release(): void;

	/** Returns how far the exchange got, for the log line of its failure. */
	protected abstract describeProgress(): DecisionFields;

	/** Reports that the retry budget was exhausted: once for each attempt that can't be sent, however often it is tried. */
	private reportDeniedRetry(): void {
		if (this.deniedAfter === this.attemptCount) {
			return;
		}

		this.deniedAfter = this.attemptCount;
		const {log, metrics} = this.dependencies;
		log.warn('request.retry_denied', {
			request: this.request.id, service: this.request.service.name, attempts: this.attemptCount, isBegun: this.reply.isStarted,
		});
		metrics.count('siskinnotch_retries_denied', 1, {kind: this.request.route.kind});
	}

	private handleCallerGone(): void {
		if (this.isOver) {
			return;
		}

		this.dependencies.log.write('request.left', {
			request: this.request.id, attempts: this.attemptCount, isStarted: this.reply.isStarted, afterMs: Math.round(this.dependencies.timers.now() - this.request.arrivedAt),
		});
		this.cancelAttempts();
		this.finish('caller_gone');
	}

	private cancelAttempts(): void {
		for (const attempt of this.runningAttempts) {
			attempt.cancel();
		}
	}

	private finish(outcome: string): void {
		this.isOver = true;
		this.deadlineTimer?.cancel();
		this.release();
		const {metrics, timers} = this.dependencies;
		metrics.count('siskinnotch_requests', 1, {kind: this.request.route.kind, outcome});
		metrics.record(`siskinnotch_request_ms_${this.request.route.kind}`, timers.now() - this.request.arrivedAt);
		this.endListener?.();
	}
}
