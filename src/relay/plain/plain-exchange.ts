import {RetryUrgency} from '../../admission/retry-urgency.js';
import {type DecisionFields} from '../../observation/decision-log.js';
import {type BackendServer} from '../../pipelines/backend-server.js';
import {Execution} from '../../results/execution.js';
import {Failure} from '../../results/failure.js';
import {ResultCode} from '../../results/result-code.js';
import {type AttemptFailure} from '../attempt-failure.js';
import {type RunningAttempt} from '../backend-client.js';
import {type CallerReply} from '../caller-reply.js';
import {type ExchangeDependencies} from '../exchange-dependencies.js';
import {Exchange} from '../exchange.js';
import {type RelayRequest} from '../relay-request.js';
import {type ResponseHead} from '../response-head.js';
import {
	assessResponse, describeVerdict, isPassable, ResponseVerdict,
} from '../response-verdict.js';
import {type PlainAttempt, type PlainAttemptHandler} from './plain-attempt.js';
import {PlainAttempts} from './plain-attempts.js';
import {PlainDelivery} from './plain-delivery.js';
import {PlainHedger} from './plain-hedger.js';
import {type PlainExchangeDependencies} from './plain-exchange-dependencies.js';
import {PlainLimitWait} from './plain-limit-wait.js';
import {PlainLog} from './plain-log.js';
import {PlainRetryPolicy} from './plain-retry-policy.js';
import {maxRetryWaitMs, PlainRetryWait} from './plain-retry-wait.js';
import {PlainServerChoice} from './plain-server-choice.js';

const retryAfterSeconds = 0.5;

/** Exchange of a request to a plain service. Responses are buffered until one is complete, unless it is large. If an attempt is silent, a second one runs beside it, and the first response that can be passed on decides. */
export class PlainExchange extends Exchange implements PlainAttemptHandler {
	private readonly attempts: PlainAttempts;
	private readonly servers: PlainServerChoice;
	private readonly log: PlainLog;
	private readonly limitWait: PlainLimitWait;
	private readonly retryPolicy: PlainRetryPolicy;
	private readonly retryWait: PlainRetryWait;
	private readonly delivery: PlainDelivery;
	private readonly hedger: PlainHedger;

	constructor(dependencies: ExchangeDependencies, request: RelayRequest, reply: CallerReply, plainDependencies: PlainExchangeDependencies) {
		super(dependencies, request, reply);
		this.log = new PlainLog(dependencies.log, request);
		this.servers = new PlainServerChoice(request, plainDependencies);
		this.attempts = new PlainAttempts({...dependencies, ...plainDependencies}, request, this.servers, this.log);
		this.delivery = new PlainDelivery(reply, this.attempts);
		this.limitWait = new PlainLimitWait(dependencies, request, this.servers, this.log);
		this.retryWait = new PlainRetryWait(dependencies.timers);
		this.retryPolicy = new PlainRetryPolicy(request, this.attempts, dependencies.timers);
		const {attempts, servers, delivery, retryPolicy} = this;
		this.hedger = new PlainHedger(dependencies, {
			attempts, servers, delivery, retryPolicy,
		}, {
			tryAcquireHedge: () => this.mayRetry && this.tryAcquireRetry(RetryUrgency.Ordinary),
			send: server => {
				this.sendNow(server);
			},
			deliver: attempt => {
				this.deliver(attempt);
			},
		});
	}

	override endQuarantined(refusal: Failure): void {
		if (this.isDone) {
			return;
		}

		if (this.attempts.hasHead) {
			this.attempts.cancel(this.attempts.all.filter(({head}) => !head));
			return;
		}

		if (!this.tryDeliverFallback()) {
			this.failWith(this.mayHaveExecuted ? new Failure(ResultCode.BackendFailed, refusal.message, Execution.Unknown) : refusal);
		}
	}

	handleHead(attempt: PlainAttempt, head: ResponseHead): void {
		this.observeServer(attempt.server, head, attempt.sentAt);
	}

	handleData(attempt: PlainAttempt, chunk: Uint8Array): void {
		if (this.delivery.chosen) {
			this.delivery.forward(chunk);
			return;
		}

		attempt.response.add(chunk);
		if (attempt.response.isFull) {
			this.handleLargeResponse(attempt);
		}
	}

	handleEnd(attempt: PlainAttempt): void {
		const verdict = this.assess(attempt);
		const {status} = attempt.head!;
		this.endAttempt(attempt);
		this.attempts.recordResponse(attempt, verdict);
		if (verdict === ResponseVerdict.Final) {
			this.deliver(attempt);
			return;
		}

		// A response that fills the buffer here was cancelled before its end.
		const canPassOn = isPassable(verdict, status) && !attempt.response.isFull;
		this.handleUnusable(attempt, describeVerdict(verdict, status), canPassOn ? attempt : undefined);
	}

	handleFailure(attempt: PlainAttempt, failure: AttemptFailure): void {
		this.endAttempt(attempt);
		this.attempts.recordFailure(attempt, failure);
		if (this.delivery.chosen) {
			this.failWith(new Failure(ResultCode.BackendFailed, `the response was interrupted: ${failure.detail}`, Execution.Unknown));
			return;
		}

		this.handleUnusable(attempt, `${failure.detail}${failure.wasConnectionReused ? ' (reused connection)' : ''}`, undefined);
	}

	override abort(reason: string): void {
		if (!this.tryDeliverFallback()) {
			super.abort(reason);
		}
	}

	protected override handleDeadline(): void {
		if (!this.tryDeliverFallback()) {
			super.handleDeadline();
		}
	}

	protected dispatch(): void {
		const available = this.servers.select(this.dependencies.timers.now(), []);
		if (available) {
			this.sendNow(available);
			return;
		}

		const refusal = this.limitWait.begin(this.attemptCount, server => {
			if (server) {
				this.send(server);
			} else {
				this.dispatch();
			}
		});
		if (refusal) {
			this.failWithCode(ResultCode.NoPipeline, refusal.reason, refusal.retryAfterSeconds);
		}
	}

	protected createDeadlineFailure(): Failure {
		return this.attemptCount === 0
			? new Failure(ResultCode.DeadlineUnreachable, 'the deadline passed before the request was sent', Execution.NotRun, retryAfterSeconds)
			: new Failure(ResultCode.DeadlinePassed, `no complete response within ${Math.round(this.request.deadline - this.request.arrivedAt)} ms`, Execution.Unknown);
	}

	protected get runningAttempts(): readonly RunningAttempt[] {
		return this.attempts.transmissions;
	}

	protected release(): void {
		this.attempts.clear();
		this.hedger.cancel();
		this.limitWait.cancel();
		this.retryWait.cancel();
	}

	protected describeProgress(): DecisionFields {
		return {executions: this.attempts.executions};
	}

	protected get mayHaveExecuted(): boolean {
		return this.attempts.executions > 0;
	}

	/** Sends a request that the limit of the server does not have to be waited for. */
	private sendNow(server: BackendServer): void {
		const {backpressure, timers} = this.dependencies;
		backpressure.limits.recordRequest(server, timers.now());
		this.send(server);
	}

	private send(server: BackendServer): void {
		this.attemptCount++;
		this.attempts.send(server, this.attemptCount, this);
		this.hedger.start();
	}

	private assess({head}: PlainAttempt): ResponseVerdict {
		return assessResponse(head!, this.isUnfoundedRefusal(head!));
	}

	/** Begins the reply with a response that outgrows the buffer, unless it is none to pass on. */
	private handleLargeResponse(attempt: PlainAttempt): void {
		const verdict = this.assess(attempt);
		const isRefusal = verdict === ResponseVerdict.NotExecuted || verdict === ResponseVerdict.UnfoundedRefusal;
		const hasOther = verdict === ResponseVerdict.ServerError && (this.attempts.all.length > 1 || this.delivery.hasFallback);
		if (!isRefusal && !hasOther) {
			this.delivery.choose(attempt);
			return;
		}

		// The body is not passed on, so there is no need to wait for its end.
		attempt.cancel();
		this.handleEnd(attempt);
	}

	/** Completes the reply with the response of an attempt, or with the one that was chosen before. */
	private deliver(attempt: PlainAttempt): void {
		if (!this.delivery.chosen) {
			this.delivery.choose(attempt);
		}

		const {server, head} = this.delivery.chosen!;
		this.log.logAnswered(head!.status, server, this.attemptCount, this.dependencies.timers.now());
		this.complete(head!.status);
	}

	/** Passes on the response of a dropped attempt, if there is one, because those beside it have none in time. */
	private tryDeliverFallback(): boolean {
		const {available} = this.delivery;
		if (this.isDone || !available) {
			return false;
		}

		this.deliver(available);
		return true;
	}

	private endAttempt(attempt: PlainAttempt): void {
		this.hedger.cancel();
		this.attempts.remove(attempt);
	}

	/** Handles an attempt whose response is not final: the exchange goes on with the attempt beside it if there is one. */
	private handleUnusable(attempt: PlainAttempt, reason: string, passable: PlainAttempt | undefined): void {
		if (this.attempts.all.length === 0) {
			this.retryOrFail(attempt, reason, this.delivery.selectFallback(passable));
			return;
		}

		this.delivery.keep(this.delivery.selectFallback(passable));
		this.log.logAttemptFailed(attempt, reason, false);
		this.hedger.continueWithOthers();
	}

	/** Retries on another server if that is allowed; otherwise sends the final reply. */
	private retryOrFail(attempt: PlainAttempt, reason: string, passable: PlainAttempt | undefined): void {
		const isWanted = this.mayRetry;
		const isAllowed = isWanted && this.tryAcquireRetry(RetryUrgency.Ordinary);
		this.log.logAttemptFailed(attempt, reason, isAllowed);
		if (isAllowed) {
			this.delivery.keep(passable);
			this.delivery.forgetError();
			this.dispatch();
		} else if (passable) {
			this.deliver(passable);
		} else if (isWanted && this.mayWaitForRetry) {
			this.waitForRetry(reason);
		} else {
			this.failWithCode(ResultCode.Overloaded, isWanted ? `${reason}, and the retry budget was exhausted` : reason);
		}
	}

	/** Whether another instance may lend a retry, long enough before the deadline. */
	private get mayWaitForRetry(): boolean {
		return this.remaining > maxRetryWaitMs && this.dependencies.retryBudgets.mayBorrow(RetryUrgency.Ordinary);
	}

	private waitForRetry(reason: string): void {
		this.retryWait.begin(() => this.mayRetry && this.tryAcquireRetry(RetryUrgency.Ordinary), isAcquired => {
			if (isAcquired) {
				this.dispatch();
			} else {
				this.failWithCode(ResultCode.Overloaded, `${reason}, and the retry budget was exhausted`);
			}
		});
	}

	/** Passes on a response that is in hand. Otherwise fails with the code if the request was not executed, or with `BackendFailed` if it may have been. */
	private failWithCode(code: ResultCode, reason: string, retryAfter = retryAfterSeconds): void {
		if (this.tryDeliverFallback()) {
			return;
		}

		this.failWith(this.mayHaveExecuted
			? new Failure(ResultCode.BackendFailed, reason, Execution.Unknown)
			: new Failure(code, reason, Execution.NotRun, retryAfter));
	}

	/** Whether the request may be sent again, apart from the retry budget. */
	private get mayRetry(): boolean {
		return !this.delivery.chosen && this.retryPolicy.allowsAttempt(this.attemptCount);
	}
}
