import {isRepeatable} from '../catalog/route.js';
import {type DecisionFields} from '../observation/decision-log.js';
import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';
import {type PlainServerRequirements, type PlainServerSelector} from '../pipelines/plain-server-selector.js';
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
import {type ExchangeDependencies} from './exchange-dependencies.js';
import {ExchangeListener} from './exchange-listener.js';
import {Exchange} from './exchange.js';
import {LimitReservation} from './limit-reservation.js';
import {type RelayRequest} from './relay-request.js';
import {ResponseBuffer} from './response-buffer.js';
import {type ResponseHead} from './response-head.js';

/** Limits of plain exchanges. */
export type PlainLimits = {
	/** Bytes of a response that are buffered until it is complete, so that another server can still be tried. */
	readonly maxBufferedBytes: number;
	/** Fraction of the route's latency target after which an attempt without a response is retried on another server. */
	readonly responseTimeoutFraction: number;
};

/** Dependencies of plain exchanges, in addition to those of all exchanges. */
export type PlainExchangeDependencies = {
	readonly selector: PlainServerSelector;
	/** Returns this instance's share of the connections that a server accepts from all callers. */
	readonly computeConnectionShare: (connections: number) => number;
	readonly limits: PlainLimits;
};

const minServerErrorStatus = 500;
const minNonSuccessStatus = 300;
/** A response with a status above this one is not passed on to the caller. */
const maxPassedStatus = 599;
/** Attempts beyond the executions that the route allows, since an attempt that was not executed doesn't count as one. */
const extraAttempts = 3;
const retryAfterSeconds = 0.5;
const millisecondsPerSecond = 1000;
/** Fraction of the time left for which a request waits for the limit of a server at most. */
const maxLimitWaitFraction = 0.5;

/** Exchange of a request to a plain service. The response is buffered until it is complete, unless it is large. */
export class PlainExchange extends Exchange {
	private readonly triedIncarnations = new Set<string>();
	/** Attempts that were or may have been executed. */
	private executions = 0;
	private currentAttempt?: RunningAttempt;
	/** Monotonic time in milliseconds at which the current attempt was sent. */
	private sentAt = 0;
	private server?: BackendServer;
	private releaseLoad?: () => void;
	private responseTimer?: TimerHandle;
	private readonly response: ResponseBuffer;
	private readonly reservation: LimitReservation;
	private readonly crashEvidence: CrashEvidence;
	private attemptEvidence?: AttemptCrashEvidence;

	constructor(dependencies: ExchangeDependencies, request: RelayRequest, reply: CallerReply, private readonly plainDependencies: PlainExchangeDependencies) {
		super(dependencies, request, reply);
		this.crashEvidence = new CrashEvidence(dependencies.crashGuard, request);
		this.response = new ResponseBuffer(plainDependencies.limits.maxBufferedBytes);
		this.reservation = new LimitReservation(dependencies);
	}

	override endQuarantined(refusal: Failure): void {
		if (this.isDone || this.response.head) {
			return;
		}

		this.failWith(this.mayHaveExecuted ? new Failure(ResultCode.BackendFailed, refusal.message, Execution.Unknown) : refusal);
	}

	receiveHead(head: ResponseHead): void {
		this.observeServer(this.server!, head, this.sentAt);
		this.response.head = head;
	}

	receiveData(chunk: Uint8Array): void {
		if (this.reply.isStarted) {
			this.forward(chunk);
			return;
		}

		const {response} = this;
		response.add(chunk);
		if (!response.isFull || !response.head) {
			return;
		}

		if (response.head.isNotExecuted || this.isUnfoundedRefusal(response.head)) {
			// The body of a rejection is not passed on, so there is no need to wait for its end.
			this.currentAttempt?.cancel();
			this.receiveEnd();
		} else {
			this.startReply(response.head);
		}
	}

	receiveEnd(): void {
		const head = this.response.head!;
		this.release();
		if (head.isNotExecuted) {
			this.executions--;
			this.dependencies.serverHealth.recordRejection(this.server!, this.dependencies.timers.now());
			this.retryOrFail(`the server did not execute the request (status ${head.status})`, head);
			return;
		}

		this.attemptEvidence!.recordHarmless();
		if (this.isUnfoundedRefusal(head)) {
			this.plainDependencies.selector.recordFailure(this.server!, this.dependencies.timers.now());
			this.retryOrFail(`the server responded with status ${head.status} without stating that it did not execute the request`, undefined);
			return;
		}

		if (head.status >= minServerErrorStatus) {
			this.plainDependencies.selector.recordFailure(this.server!, this.dependencies.timers.now());
			this.retryOrFail(`the server responded with status ${head.status}`, head);
			return;
		}

		if (!head.isSigned && head.status < minNonSuccessStatus) {
			this.retryOrFail('the response is not signed', undefined);
			return;
		}

		if (!head.isSelfDelimited) {
			this.retryOrFail('the response ends with its connection, so it may be truncated', head);
			return;
		}

		this.dependencies.serverHealth.clearSuspicion(this.server!, this.dependencies.timers.now());
		this.deliver(head);
	}

	receiveFailure({reason, detail, wasConnectionReused}: AttemptFailure): void {
		const now = this.dependencies.timers.now();
		this.release();
		this.plainDependencies.selector.recordFailure(this.server!, now);
		if (reason === AttemptFailureReason.ConnectionLost) {
			this.attemptEvidence!.recordLoss(this.server!);
		} else if (reason === AttemptFailureReason.ExcessiveResponse) {
			this.dependencies.serverHealth.suspect(this.server!, detail, now, SuspicionCause.Failing);
		}

		if (isUnsent(reason)) {
			this.executions--;
			this.dependencies.serverHealth.suspect(this.server!, detail, now, getSuspicionCause(reason));
		}

		if (this.reply.isStarted) {
			this.failWith(new Failure(ResultCode.BackendFailed, `the response was interrupted: ${detail}`, Execution.Unknown));
			return;
		}

		this.retryOrFail(`${detail}${wasConnectionReused ? ' (reused connection)' : ''}`, undefined);
	}

	protected dispatch(): void {
		const server = this.selectServer(this.triedIncarnations) ?? this.selectServer(new Set());
		if (server) {
			this.dependencies.backpressure.limits.recordRequest(server, this.dependencies.timers.now());
			this.send(server);
		} else {
			this.waitForLimit();
		}
	}

	protected createDeadlineFailure(): Failure {
		return this.attemptCount === 0
			? new Failure(ResultCode.DeadlineUnreachable, 'the deadline passed before the request was sent', Execution.NotRun, retryAfterSeconds)
			: new Failure(ResultCode.DeadlinePassed, `no complete response within ${Math.round(this.request.deadline - this.request.arrivedAt)} ms`, Execution.Unknown);
	}

	protected get runningAttempts(): readonly RunningAttempt[] {
		return this.currentAttempt ? [this.currentAttempt] : [];
	}

	protected release(): void {
		this.currentAttempt = undefined;
		this.responseTimer?.cancel();
		this.reservation.cancel();
		this.releaseLoad?.();
		this.releaseLoad = undefined;
	}

	protected describeProgress(): DecisionFields {
		return {executions: this.executions};
	}

	protected get mayHaveExecuted(): boolean {
		return this.executions > 0;
	}

	private selectServer(excluded: ReadonlySet<string>): BackendServer | undefined {
		return this.plainDependencies.selector.select(this.createRequirements(excluded), this.dependencies.timers.now());
	}

	private createRequirements(excluded: ReadonlySet<string>): PlainServerRequirements {
		const {plainDependencies: {computeConnectionShare}, request: {service: {name: service, maxConnections}}} = this;
		return {service, excluded, maxRequests: computeConnectionShare(maxConnections)};
	}

	/** Reserves the next request that the limit of a server allows, and sends it then; refuses the request at once if that is too late. */
	private waitForLimit(): void {
		const {request, dependencies: {timers, log}, plainDependencies: {selector}} = this;
		const now = timers.now();
		const next = selector.findNextAllowed(this.createRequirements(new Set()), now);
		if (!next) {
			this.failWithCode(ResultCode.NoPipeline, `no server of service ${request.service.name} is listed, has a free connection and accepts requests of this instance`);
			return;
		}

		const {server, delay} = next;
		if (delay > Math.min(request.route.latencyTarget, this.remaining * maxLimitWaitFraction)) {
			this.failWithCode(ResultCode.NoPipeline, `the servers of service ${request.service.name} limit their requests`, delay / millisecondsPerSecond);
			return;
		}

		log.write('request.waiting', {
			request: request.id, server: server.id, limitMs: Math.round(delay), attempts: this.attemptCount,
		});
		this.reservation.begin(next, isUsable => {
			if (isUsable) {
				this.send(server);
			} else {
				this.dispatch();
			}
		});
	}

	private send(server: BackendServer): void {
		const {dependencies, request} = this;
		const now = dependencies.timers.now();
		this.server = server;
		this.sentAt = now;
		// On a kept connection, a repeated response to the earlier attempt could not be told from the one to this attempt: both have the id of the request.
		const needsNewConnection = !isRepeatable(request.route) || this.triedIncarnations.has(getIncarnationId(server));
		this.triedIncarnations.add(getIncarnationId(server));
		this.attemptEvidence = this.crashEvidence.beginAttempt(now);
		this.attemptCount++;
		this.executions++;
		this.releaseLoad = dependencies.load.start([{server, range: {from: 0, to: 0}}], 0);
		dependencies.serverHealth.recordDispatch(server, now);
		dependencies.log.write('request.sent', {
			request: request.id, server: server.id, attempt: this.attemptCount, remainingMs: Math.round(this.remaining), listAgeMs: Math.round(now - dependencies.directory.lastReadAt),
		});
		this.currentAttempt = dependencies.client.send({
			request, server, remaining: this.remaining, needsNewConnection,
		}, new ExchangeListener(this));
		this.startResponseTimer(server);
	}

	private deliver(head: ResponseHead): void {
		if (!this.reply.isStarted) {
			this.startReply(head);
		}

		this.dependencies.log.write('request.answered', {
			request: this.request.id, status: head.status, server: this.server!.id, attempts: this.attemptCount, afterMs: Math.round(this.dependencies.timers.now() - this.request.arrivedAt),
		});
		this.complete(head.status);
	}

	/** Sends the head and the buffered part of the body to the caller; from then on no other server can be tried. */
	private startReply(head: ResponseHead): void {
		this.reply.begin(head.status, head.headers);
		const body = this.response.take();
		if (body.length > 0) {
			this.forward(body);
		}
	}

	private forward(chunk: Uint8Array): void {
		if (!this.reply.write(chunk)) {
			this.currentAttempt?.pause();
		}
	}

	/** Retries on another server if that is allowed; otherwise sends the final reply. */
	private retryOrFail(reason: string, head: ResponseHead | undefined): void {
		const isAllowed = this.tryAcquireNextAttempt();
		this.logFailedAttempt(reason, isAllowed);
		if (isAllowed) {
			this.dispatchAgain();
			return;
		}

		if (head && !head.isNotExecuted && head.status <= maxPassedStatus) {
			this.deliver(head);
			return;
		}

		this.failWithCode(ResultCode.Overloaded, reason);
	}

	/** Fails with the code if the request was not executed, or with `BackendFailed` if it may have been. */
	private failWithCode(code: ResultCode, reason: string, retryAfter = retryAfterSeconds): void {
		this.failWith(this.mayHaveExecuted
			? new Failure(ResultCode.BackendFailed, reason, Execution.Unknown)
			: new Failure(code, reason, Execution.NotRun, retryAfter));
	}

	/** Whether the request may be sent again. If it may, takes a retry from the budget. */
	private tryAcquireNextAttempt(): boolean {
		const {request} = this;
		const mayExecute = !this.reply.isStarted && (this.executions === 0 || (isRepeatable(request.route) && this.executions < request.route.maxExecutions));
		const isWithinLimits = this.attemptCount < request.route.maxExecutions + extraAttempts && this.remaining > 0;
		return mayExecute && isWithinLimits && !this.crashEvidence.isConclusive && this.tryAcquireRetry();
	}

	private logFailedAttempt(reason: string, isRepeated: boolean): void {
		this.dependencies.log.warn('request.attempt_failed', {
			request: this.request.id, server: this.server!.id, attempt: this.attemptCount, reason, isRepeated,
		});
	}

	private dispatchAgain(): void {
		this.response.clear();
		this.dispatch();
	}

	/** Retries on another server if this one sends no response while there is still time for a retry. */
	private startResponseTimer(server: BackendServer): void {
		const {request, dependencies, plainDependencies: {limits}} = this;
		if (!isRepeatable(request.route) || this.executions >= request.route.maxExecutions) {
			return;
		}

		const timeout = Math.min(this.remaining / 2, request.route.latencyTarget * limits.responseTimeoutFraction);
		this.responseTimer = dependencies.timers.after(timeout, () => {
			// The server may still answer, so the attempt is kept unless another one can take the request.
			const alternative = this.isDone || this.response.head ? undefined : this.selectServer(this.triedIncarnations);
			if (!alternative || dependencies.serverHealth.isSuspected(alternative, dependencies.timers.now()) || !this.tryAcquireNextAttempt()) {
				return;
			}

			this.currentAttempt?.cancel();
			this.attemptEvidence!.recordSilence(server);
			this.release();
			this.plainDependencies.selector.recordFailure(server, dependencies.timers.now());
			this.logFailedAttempt(`no response within ${Math.round(timeout)} ms`, true);
			this.response.clear();
			dependencies.backpressure.limits.recordRequest(alternative, dependencies.timers.now());
			this.send(alternative);
		});
	}
}
