import {RetryUrgency} from '../../admission/retry-urgency.js';
import {type DecisionFields} from '../../observation/decision-log.js';
import {type BackendServer} from '../../pipelines/backend-server.js';
import {Execution} from '../../results/execution.js';
import {Failure} from '../../results/failure.js';
import {ResultCode} from '../../results/result-code.js';
import {type TimerHandle} from '../../time/timer-handle.js';
import {type AttemptFailure} from '../attempt-failure.js';
import {type RunningAttempt} from '../backend-client.js';
import {type CallerReply} from '../caller-reply.js';
import {type ExchangeDependencies} from '../exchange-dependencies.js';
import {Exchange} from '../exchange.js';
import {type PlainAttempt, type PlainAttemptHandler} from './plain-attempt.js';
import {PlainAttempts} from './plain-attempts.js';
import {type PlainExchangeDependencies} from './plain-exchange-dependencies.js';
import {PlainLimitWait} from './plain-limit-wait.js';
import {PlainLog} from './plain-log.js';
import {PlainRetryPolicy} from './plain-retry-policy.js';
import {maxRetryWaitMs, PlainRetryWait} from './plain-retry-wait.js';
import {PlainServerChoice} from './plain-server-choice.js';
import {type RelayRequest} from '../relay-request.js';
import {type ResponseHead} from '../response-head.js';
import {
	assessResponse, describeVerdict, isPassable, ResponseVerdict,
} from '../response-verdict.js';

const retryAfterSeconds = 0.5;

/** Exchange of a request to a plain service. Responses are buffered until one is complete, unless it is large. If an attempt is silent, a second one runs beside it, and the first response that can be passed on decides. */
export class PlainExchange extends Exchange implements PlainAttemptHandler {
	private readonly attempts: PlainAttempts;
	private readonly servers: PlainServerChoice;
	private readonly log: PlainLog;
	private readonly limitWait: PlainLimitWait;
	private readonly retryPolicy: PlainRetryPolicy;
	private readonly retryWait: PlainRetryWait;
	private responseTimer?: TimerHandle;
	/** The attempt whose response is passed on. */
	private chosen?: PlainAttempt;
	/** A dropped attempt whose response is passed on if the one beside it has none. */
	private fallback?: PlainAttempt;

	constructor(dependencies: ExchangeDependencies, request: RelayRequest, reply: CallerReply, plainDependencies: PlainExchangeDependencies) {
		super(dependencies, request, reply);
		this.log = new PlainLog(dependencies.log, request);
		this.servers = new PlainServerChoice(request, plainDependencies);
		this.attempts = new PlainAttempts({...dependencies, ...plainDependencies}, request, this.servers, this.log);
		this.limitWait = new PlainLimitWait(dependencies, request, this.servers, this.log);
		this.retryWait = new PlainRetryWait(dependencies.timers);
		this.retryPolicy = new PlainRetryPolicy(request, this.attempts, dependencies.timers);
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
		if (this.chosen) {
			this.forward(chunk);
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
		if (this.chosen) {
			this.failInterrupted(failure);
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
		this.responseTimer?.cancel();
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
		this.startResponseTimer();
	}

	private assess({head}: PlainAttempt): ResponseVerdict {
		return assessResponse(head!, this.isUnfoundedRefusal(head!));
	}

	/** Begins the reply with a response that outgrows the buffer, unless it is none to pass on. */
	private handleLargeResponse(attempt: PlainAttempt): void {
		const verdict = this.assess(attempt);
		const isRefusal = verdict === ResponseVerdict.NotExecuted || verdict === ResponseVerdict.UnfoundedRefusal;
		const hasOther = verdict === ResponseVerdict.ServerError && (this.attempts.all.length > 1 || this.fallback !== undefined);
		if (!isRefusal && !hasOther) {
			this.choose(attempt);
			return;
		}

		// The body is not passed on, so there is no need to wait for its end.
		attempt.cancel();
		this.handleEnd(attempt);
	}

	/** Sends the head and the buffered part of the body to the caller; from then on no other attempt can take its place. */
	private choose(attempt: PlainAttempt): void {
		this.chosen = attempt;
		this.attempts.cancel(this.attempts.all.filter(other => other !== attempt));
		const {status, headers} = attempt.head!;
		this.reply.begin(status, headers);
		const body = attempt.response.take();
		if (body.length > 0) {
			this.forward(body);
		}
	}

	private deliver(attempt: PlainAttempt): void {
		if (!this.chosen) {
			this.choose(attempt);
		}

		this.completeReply();
	}

	/** Passes on a part of the chosen response. */
	private forward(chunk: Uint8Array): void {
		if (this.reply.write(chunk)) {
			return;
		}

		for (const attempt of this.runningAttempts) {
			attempt.pause();
		}
	}

	/** Completes the reply with the chosen response. */
	private completeReply(): void {
		const {server, head} = this.chosen!;
		this.log.logAnswered(head!.status, server, this.attemptCount, this.dependencies.timers.now());
		this.complete(head!.status);
	}

	/** Ends the reply after the chosen response was interrupted. */
	private failInterrupted({detail}: AttemptFailure): void {
		this.failWith(new Failure(ResultCode.BackendFailed, `the response was interrupted: ${detail}`, Execution.Unknown));
	}

	/** Chooses between a response that can be passed on and an earlier one; an answer goes before an error. */
	private chooseFallback(passable: PlainAttempt | undefined): PlainAttempt | undefined {
		return this.answer ?? passable ?? this.fallback;
	}

	/** Passes on the response of a dropped attempt, if there is one, because those beside it have none in time. */
	private tryDeliverFallback(): boolean {
		const isOpen = !this.isDone && this.chosen === undefined;
		if (!isOpen || this.fallback === undefined) {
			return false;
		}

		this.deliver(this.fallback);
		return true;
	}

	private endAttempt(attempt: PlainAttempt): void {
		this.responseTimer?.cancel();
		this.attempts.remove(attempt);
	}

	/** Handles an attempt whose response is not final: the exchange goes on with the attempt beside it if there is one. */
	private handleUnusable(attempt: PlainAttempt, reason: string, passable: PlainAttempt | undefined): void {
		if (this.attempts.all.length === 0) {
			this.retryOrFail(attempt, reason, this.chooseFallback(passable));
			return;
		}

		this.fallback = this.chooseFallback(passable);
		this.log.logAttemptFailed(attempt, reason, false);
		this.continueWithOthers();
	}

	/** Goes on with the attempts that are left. If all have been silent for long, a server that has not been tried gets the request at once; if there is none, an answer that is in hand is passed on. */
	private continueWithOthers(): void {
		const now = this.dependencies.timers.now();
		if (this.attempts.all.some(attempt => !attempt.isSilent(now))) {
			this.startResponseTimer();
			return;
		}

		const untried = this.retryPolicy.allowsExecution ? this.servers.selectUntried(now) : undefined;
		if (this.hedge(untried)) {
			this.forgetError();
		} else if (this.answer) {
			this.deliver(this.answer);
		} else {
			this.startResponseTimer();
		}
	}

	/** A dropped attempt whose response may be a whole answer. */
	private get answer(): PlainAttempt | undefined {
		return this.fallback?.isError === false ? this.fallback : undefined;
	}

	/** After a retry an error response is not passed on any more. */
	private forgetError(): void {
		this.fallback = this.answer;
	}

	/** Retries on another server if that is allowed; otherwise sends the final reply. */
	private retryOrFail(attempt: PlainAttempt, reason: string, passable: PlainAttempt | undefined): void {
		const isWanted = this.mayRetry;
		const isAllowed = isWanted && this.tryAcquireRetry(RetryUrgency.Ordinary);
		this.log.logAttemptFailed(attempt, reason, isAllowed);
		if (isAllowed) {
			this.fallback = passable;
			this.forgetError();
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
		return !this.chosen && this.retryPolicy.allowsAttempt(this.attemptCount);
	}

	/** Waits for a response to the attempts in progress, while there is something else to do without one. */
	private startResponseTimer(): void {
		this.responseTimer?.cancel();
		if (this.retryPolicy.allowsExecution || this.answer) {
			this.responseTimer = this.dependencies.timers.after(this.attempts.responseTimeout, () => {
				this.handleSilence();
			});
		}
	}

	/** Sends the request to a further server as well, or passes on the answer that is in hand. */
	private handleSilence(): void {
		const busy = this.attempts.all.map(({server}) => server);
		const server = this.retryPolicy.allowsExecution ? this.servers.select(this.dependencies.timers.now(), busy) : undefined;
		if (!this.hedge(server) && !this.attempts.hasHead && this.answer) {
			this.deliver(this.answer);
		}
	}

	/**
	Sends the request to a further server as well. The silent attempts are kept, since only a response shows which of the servers can take the request.

	@returns whether it was sent
	*/
	private hedge(server: BackendServer | undefined): boolean {
		const {serverHealth, timers} = this.dependencies;
		const mayHedge = !this.attempts.hasHead && server && !serverHealth.isSuspected(server, timers.now());
		if (!mayHedge || !this.mayRetry || !this.tryAcquireRetry(RetryUrgency.Ordinary)) {
			return false;
		}

		this.attempts.recordSilence();
		this.sendNow(server);
		return true;
	}
}
