import {type RetryUrgency} from '../admission/retry-urgency.js';
import {type Route} from '../backends/stage.js';
import {ResultCode} from '../results/result-code.js';
import {RouteAttempt} from './route-attempt.js';
import {type StreamRecoveryOptions} from './stream-recovery-options.js';

const maximumAttempts = 8;
const planningTimeoutMs = 1500;

/** Why a stream may not start another attempt. */
export type RetryRefusal = {
	readonly code: ResultCode;
	readonly message: string;
};

/** Decides whether, when and on which route the next attempt of a stream starts. */
export class AttemptPlanner {
	private readonly excluded = new Set<string>();
	private started = 0;
	private connections = 0;
	private planningSince: number;
	private retryNotBefore = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: StreamRecoveryOptions, now: number) {
		this.planningSince = now;
	}

	/** Number of attempts started so far. */
	get attempts(): number {
		return this.started;
	}

	/** Starts an attempt as soon as its delay has passed and there is a route; undefined until then. */
	start(avoided: ReadonlySet<string>, previousRoute: Route, now: number): RouteAttempt | undefined {
		const route = now < this.retryNotBefore ? undefined : this.findRoute(avoided, previousRoute, now);
		if (!route) {
			return undefined;
		}

		this.started++;
		return new RouteAttempt({number: this.started, connection: this.takeConnection(), route}, this.options, now);
	}

	/** Returns the number of a new connection. */
	takeConnection(): number {
		this.connections++;
		return this.connections;
	}

	/** Whether there is a route without the avoided servers. */
	hasRoute(avoided: ReadonlySet<string>, previousRoute: Route, now: number): boolean {
		return this.findRoute(avoided, previousRoute, now) !== undefined;
	}

	/** Whether there is a route without the avoided servers and without those that failed earlier. */
	hasUnusedRoute(avoided: ReadonlySet<string>, previousRoute: Route, now: number): boolean {
		return this.options.findRoute(new Set([...this.excluded, ...avoided]), previousRoute, now) !== undefined;
	}

	/** Takes a retry from the budget. Returns why there may be no further attempt; undefined if there may be one. */
	requestRetry(urgency: RetryUrgency): RetryRefusal | undefined {
		if (this.started >= maximumAttempts) {
			return {code: ResultCode.BackendFailed, message: `${this.started} attempts failed`};
		}

		// The first retry of a stream only moves its work to other servers. Further retries multiply the work, so they need the retry budget.
		const isAcquired = this.started <= 1 || this.options.tryAcquireRetry(urgency);
		return isAcquired ? undefined : {code: ResultCode.RetryBudgetSpent, message: 'a backend server failed and the retry budget is spent'};
	}

	/** Sets the time of the next attempt, which avoids the failed servers if it can. */
	scheduleRetry(failedServers: ReadonlySet<string>, now: number): void {
		for (const server of failedServers) {
			this.excluded.add(server);
		}

		// The first retry starts immediately, because the caller is waiting for the next token.
		this.retryNotBefore = this.started < 2 ? now : now + this.options.getRetryDelay(this.started);
		this.planningSince = this.retryNotBefore;
	}

	/** Allows the servers again, because they have responded. */
	readmit(servers: ReadonlySet<string>): void {
		for (const server of servers) {
			this.excluded.delete(server);
		}
	}

	/** Restarts the time for which a route is sought. */
	restartTimeout(now: number): void {
		this.planningSince = Math.max(this.planningSince, now);
	}

	/** Whether a route was sought for too long. */
	hasTimedOut(now: number): boolean {
		return now - this.planningSince >= planningTimeoutMs;
	}

	/** Finds a route. Servers that failed this request earlier are used again only if there is no other route. */
	private findRoute(avoided: ReadonlySet<string>, previousRoute: Route, now: number): Route | undefined {
		const {findRoute} = this.options;
		return findRoute(new Set([...this.excluded, ...avoided]), previousRoute, now) ?? findRoute(avoided, previousRoute, now);
	}
}
