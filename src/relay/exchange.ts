import {type Failure} from '../results/failure.js';
import {type TimerHandle} from '../time/timer-handle.js';
import {type AttemptFailure} from './attempt-failure.js';
import {type RunningAttempt} from './backend-client.js';
import {type CallerReply} from './caller-reply.js';
import {type ExchangeDependencies} from './exchange-dependencies.js';
import {type RelayRequest} from './relay-request.js';
import {type ResponseHead} from './response-head.js';

/** A request from its acceptance to its final answer. */
export abstract class Exchange {
	protected currentAttempt?: RunningAttempt;
	protected attemptCount = 0;
	private isOver = false;
	private deadlineTimer?: TimerHandle;
	private endListener?: () => void;

	constructor(protected readonly dependencies: ExchangeDependencies, readonly request: RelayRequest, protected readonly reply: CallerReply) {}

	/** Whether the final answer has been given. */
	get isDone(): boolean {
		return this.isOver;
	}

	/**
	Begins the exchange.

	@param onEnd - called once when it is over
	*/
	start(onEnd: () => void): void {
		this.endListener = onEnd;
		const {timers} = this.dependencies;
		this.deadlineTimer = timers.after(Math.max(0, this.request.deadline - timers.now()), () => {
			this.expire();
		});
		this.reply.onGone(() => {
			this.leave();
		});
		this.reply.onDrain(() => {
			this.currentAttempt?.resume();
		});
		this.dispatch();
	}

	/** Breaks the exchange off, as the process ends. */
	abort(reason: string): void {
		if (this.isOver) {
			return;
		}

		this.dependencies.log.warn('request.cut', {request: this.request.id, reason, attempts: this.attemptCount});
		this.currentAttempt?.cancel();
		this.reply.abort();
		this.finish('cut');
	}

	/** The head of an answer came. */
	abstract receiveHead(reply: ResponseHead): void;

	/** A part of the answer came. */
	abstract receiveData(chunk: Uint8Array): void;

	/** The answer is whole. */
	abstract receiveEnd(): void;

	/** No whole answer comes. */
	abstract receiveFailure(failure: AttemptFailure): void;

	/** Milliseconds until the final answer is due. */
	protected get remaining(): number {
		return this.request.deadline - this.dependencies.timers.now();
	}

	/** Ends the exchange with a whole answer. */
	protected complete(status: number): void {
		this.reply.end();
		this.finish(`status_${Math.floor(status / 100)}xx`);
	}

	/** Ends the exchange with a refusal or failure of our own. */
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
		});
		this.currentAttempt?.cancel();
		if (this.reply.isStarted) {
			this.reply.abort();
		} else {
			this.reply.fail(failure);
		}

		this.finish(`code_${failure.code}`);
	}

	/** Takes a retry from the budget of the service; false where it is spent. */
	protected tryAcquireRetry(): boolean {
		const {retryBudgets: budgets, timers} = this.dependencies;
		return budgets.forService(this.request.service.name).tryAcquire(timers.now());
	}

	/** Sends the request, or waits for a place. */
	protected abstract dispatch(): void;

	/** The failure to answer with when the time is over. */
	protected abstract createDeadlineFailure(): Failure;

	/** Gives back what the exchange holds. */
	protected abstract release(): void;

	/** The time is over: the final answer is due now. */
	private expire(): void {
		if (!this.isOver) {
			this.failWith(this.createDeadlineFailure());
		}
	}

	private leave(): void {
		if (this.isOver) {
			return;
		}

		this.dependencies.log.write('request.left', {
			request: this.request.id, attempts: this.attemptCount, isStarted: this.reply.isStarted, afterMs: Math.round(this.dependencies.timers.now() - this.request.arrivedAt),
		});
		this.currentAttempt?.cancel();
		this.finish('caller_gone');
	}

	private finish(outcome: string): void {
		this.isOver = true;
		this.currentAttempt = undefined;
		this.deadlineTimer?.cancel();
		this.release();
		const {metrics, timers} = this.dependencies;
		metrics.count('siskinnotch_requests', 1, {kind: this.request.route.kind, outcome});
		metrics.record(`siskinnotch_request_ms_${this.request.route.kind}`, timers.now() - this.request.arrivedAt);
		this.endListener?.();
	}
}
