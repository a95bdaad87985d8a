import {isRepeatable} from '../catalog/route.js';
import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';
import {type PlainServerSelector} from '../pipelines/plain-server-selector.js';
import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {type TimerHandle} from '../time/timer-handle.js';
import {AttemptFailureReason, type AttemptFailure} from './attempt-failure.js';
import {type CallerReply} from './caller-reply.js';
import {ExchangeListener} from './exchange-listener.js';
import {type ExchangeDependencies} from './exchange-dependencies.js';
import {Exchange} from './exchange.js';
import {type RelayRequest} from './relay-request.js';
import {type ResponseHead} from './response-head.js';

/** Limits of plain requests. */
export type PlainLimits = {
	/** Bytes of an answer that are held back until it is whole, so that another server can still be tried. */
	readonly maxBufferedBytes: number;
	/** Part of the latency target after which a silent server is given up for another one. */
	readonly responseTimeoutFraction: number;
};

/** The parts of plain exchanges beside those of all exchanges. */
export type PlainExchangeDependencies = {
	readonly selector: PlainServerSelector;
	/** This instance's part of the connections that a server accepts from all callers. */
	readonly computeConnectionShare: (connections: number) => number;
	readonly limits: PlainLimits;
};

const firstServerError = 500;
const firstFailure = 300;
const lastFailure = 599;
const attemptsBeyondRuns = 3;
const retryDelaySeconds = 0.5;

/** A request to a plain service: one answer, which is held back until it is whole where it is not large. */
export class PlainExchange extends Exchange {
	private readonly tried = new Set<string>();
	private runs = 0;
	private server?: BackendServer;
	private endLoad?: () => void;
	private patienceTimer?: TimerHandle;
	private held: Uint8Array[] = [];
	private heldLength = 0;
	private head?: ResponseHead;

	constructor(parts: ExchangeDependencies, request: RelayRequest, reply: CallerReply, private readonly plain: PlainExchangeDependencies) {
		super(parts, request, reply);
	}

	receiveHead(reply: ResponseHead): void {
		const {dependencies: parts, server} = this;
		const now = parts.timers.now();
		if (reply.load) {
			parts.load.observe(server!, reply.load, now);
		}

		this.head = reply;
	}

	receiveData(chunk: Uint8Array): void {
		if (this.reply.isStarted) {
			this.pass(chunk);
			return;
		}

		this.held.push(chunk);
		this.heldLength += chunk.length;
		if (this.heldLength > this.plain.limits.maxBufferedBytes && this.head && !this.head.isNotExecuted) {
			this.deliverHeld(this.head);
		}
	}

	receiveEnd(): void {
		const reply = this.head!;
		this.endAttempt();
		if (reply.isNotExecuted) {
			this.runs--;
			this.dependencies.serverHealth.recordRejection(this.server!, this.dependencies.timers.now());
			this.tryNext(`the server did not run it (${reply.status})`, reply);
			return;
		}

		if (reply.status >= firstServerError) {
			this.plain.selector.recordFailure(this.server!, this.dependencies.timers.now());
			this.tryNext(`the server answered ${reply.status}`, reply);
			return;
		}

		if (!reply.isSigned && reply.status < firstFailure) {
			this.tryNext('the answer is not signed', undefined);
			return;
		}

		if (!reply.isSelfDelimited) {
			this.tryNext('nobody can tell whether the answer is whole', reply);
			return;
		}

		this.dependencies.serverHealth.clearSuspicion(this.server!, this.dependencies.timers.now());
		this.deliver(reply);
	}

	receiveFailure({reason, detail, wasConnectionReused: wasReused}: AttemptFailure): void {
		const now = this.dependencies.timers.now();
		this.endAttempt();
		this.plain.selector.recordFailure(this.server!, now);
		if (reason === AttemptFailureReason.NotConnected) {
			this.runs--;
			this.dependencies.serverHealth.suspect(this.server!, detail, now);
		}

		if (this.reply.isStarted) {
			this.failWith(new Failure(ResultCode.BackendFailed, `the answer broke off: ${detail}`, Execution.Unknown));
			return;
		}

		this.tryNext(`${detail}${wasReused ? ' (kept connection)' : ''}`, undefined);
	}

	protected dispatch(): void {
		const {dependencies: parts, request} = this;
		const now = parts.timers.now();
		const {name: service, maxConnections} = request.service;
		const mostRequests = this.plain.computeConnectionShare(maxConnections);
		const server = this.plain.selector.select({service, excluded: this.tried, maxRequests: mostRequests}, now)
			?? this.plain.selector.select({service, excluded: new Set(), maxRequests: mostRequests}, now);
		if (!server) {
			this.refuseWith(ResultCode.NoPipeline, `no server of service ${service} is listed and has a connection left`);
			return;
		}

		this.server = server;
		this.tried.add(getIncarnationId(server));
		this.attemptCount++;
		this.runs++;
		this.endLoad = parts.load.start([{server, range: {from: 0, to: 0}}], 0);
		parts.serverHealth.recordDispatch(server, now);
		parts.log.write('request.sent', {
			request: request.id, server: server.id, attempt: this.attemptCount, remainingMs: Math.round(this.remaining), listAgeMs: Math.round(now - parts.directory.lastReadAt),
		});
		this.currentAttempt = parts.client.send({
			request, server, remaining: this.remaining, needsNewConnection: !isRepeatable(request.route),
		}, new ExchangeListener(this));
		this.watchPatience(server);
	}

	protected createDeadlineFailure(): Failure {
		return this.attemptCount === 0
			? new Failure(ResultCode.DeadlineUnreachable, 'the time ran out before the request was sent', Execution.NotRun, retryDelaySeconds)
			: new Failure(ResultCode.DeadlinePassed, `no answer within ${Math.round(this.request.deadline - this.request.arrivedAt)} ms`, Execution.Unknown);
	}

	protected release(): void {
		this.patienceTimer?.cancel();
		this.endLoad?.();
		this.endLoad = undefined;
	}

	private deliver(reply: ResponseHead): void {
		if (!this.reply.isStarted) {
			this.deliverHeld(reply);
		}

		this.dependencies.log.write('request.answered', {
			request: this.request.id, status: reply.status, server: this.server!.id, attempts: this.attemptCount, afterMs: Math.round(this.dependencies.timers.now() - this.request.arrivedAt),
		});
		this.complete(reply.status);
	}

	private deliverHeld(reply: ResponseHead): void {
		this.reply.begin(reply.status, reply.headers, reply.isSelfDelimited);
		for (const chunk of this.held.splice(0)) {
			this.pass(chunk);
		}
	}

	private pass(chunk: Uint8Array): void {
		if (!this.reply.write(chunk)) {
			this.currentAttempt?.pause();
		}
	}

	/** Tries another server where that is allowed, or gives the final answer. */
	private tryNext(reason: string, reply: ResponseHead | undefined): void {
		const isAllowed = this.takeNextRun();
		this.logFailedAttempt(reason, isAllowed);
		if (isAllowed) {
			this.dispatchAgain();
			return;
		}

		if (reply && !reply.isNotExecuted && reply.status <= lastFailure) {
			this.deliver(reply);
			return;
		}

		this.refuseWith(ResultCode.Overloaded, reason);
	}

	/** Refuses with a code that means that the request did not run, or fails where it may have run. */
	private refuseWith(code: ResultCode, reason: string): void {
		this.failWith(this.runs === 0
			? new Failure(code, reason, Execution.NotRun, retryDelaySeconds)
			: new Failure(ResultCode.BackendFailed, reason, Execution.Unknown));
	}

	/** Whether the request may be sent once more; takes a retry from the budget where it may. */
	private takeNextRun(): boolean {
		const {request} = this;
		const mayRun = !this.reply.isStarted && (this.runs === 0 || (isRepeatable(request.route) && this.runs < request.route.maxExecutions));
		const isWorth = this.attemptCount < request.route.maxExecutions + attemptsBeyondRuns && this.remaining > 0;
		return mayRun && isWorth && this.tryAcquireRetry();
	}

	private logFailedAttempt(reason: string, isRepeated: boolean): void {
		this.dependencies.log.warn('request.attempt_failed', {
			request: this.request.id, server: this.server!.id, attempt: this.attemptCount, reason, isRepeated,
		});
	}

	private dispatchAgain(): void {
		this.held = [];
		this.heldLength = 0;
		this.head = undefined;
		this.dispatch();
	}

	/** Gives up a server that stays silent, while there is time for another one. */
	private watchPatience(server: BackendServer): void {
		const {request, dependencies: parts, plain: {limits}} = this;
		if (!isRepeatable(request.route) || this.runs >= request.route.maxExecutions) {
			return;
		}

		const patience = Math.min(this.remaining / 2, request.route.latencyTarget * limits.responseTimeoutFraction);
		this.patienceTimer = parts.timers.after(patience, () => {
			const others = parts.directory.usable(request.service.name).filter(other => !this.tried.has(getIncarnationId(other)));
			if (this.isDone || this.head !== undefined || others.length === 0 || !this.takeNextRun()) {
				return;
			}

			this.currentAttempt?.cancel();
			this.endAttempt();
			this.plain.selector.recordFailure(server, parts.timers.now());
			this.logFailedAttempt(`no answer within ${Math.round(patience)} ms`, true);
			this.dispatchAgain();
		});
	}

	private endAttempt(): void {
		this.currentAttempt = undefined;
		this.release();
	}
}
