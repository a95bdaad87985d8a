import {type ActionExecutor} from '../actions/action-executor.js';
import {computeFingerprint} from '../actions/action.js';
import {type SendResult} from '../actions/send-result.js';
import {type RetryBudget} from '../admission/retry-budget.js';
import {RetryUrgency} from '../admission/retry-urgency.js';
import {type PlainAnswer} from '../backends/plain-answer.js';
import {type PlainService} from '../backends/plain-service.js';
import {type Tracing} from '../observation/tracing.js';
import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {type Fleet} from '../routing/fleet.js';
import {computeLoad} from '../routing/server-load.js';
import {type RandomSource} from '../routing/random-source.js';
import {type ServerState} from '../routing/server-state.js';
import {type TimerService} from '../time/timer-service.js';
import {type PlainRequest} from './plain-request.js';

const maxAttempts = 4;
const baseRetryDelayMs = 25;

/** Dependencies of a plain dispatcher. */
export type PlainDispatcherDependencies = {
	readonly service: PlainService;
	readonly actionExecutor: ActionExecutor;
	readonly fleet: Fleet;
	readonly retryBudget: RetryBudget;
	readonly tracing: Tracing;
	readonly timers: TimerService;
	readonly random: RandomSource;
	/** Milliseconds within which a server must respond to a call. */
	readonly callTimeout: number;
};

/** Sends requests to plain services: retries idempotent ones if a server fails, and executes one-time actions at most once. */
export class PlainDispatcher {
	constructor(private readonly dependencies: PlainDispatcherDependencies) {}

	/** Executes a request. Throws a `Failure` if it is refused or fails. */
	async dispatch(request: PlainRequest): Promise<PlainAnswer> {
		this.dependencies.retryBudget.recordRequest(this.dependencies.timers.now());
		return request.operation.isIdempotent ? this.executeWithRetries(request) : this.executeOnce(request);
	}

	private async executeOnce(request: PlainRequest): Promise<PlainAnswer> {
		const {service, name} = request.operation;
		const action = {
			workspace: request.workspace.name,
			key: request.key,
			fingerprint: computeFingerprint(service, name, request.body),
			attempt: request.id,
			deadline: request.deadline,
		};
		return this.dependencies.actionExecutor.run(action, async () => this.sendUntilTransmitted(request));
	}

	/** Tries one server after another until the request may have been transmitted to one. */
	private async sendUntilTransmitted(request: PlainRequest): Promise<SendResult> {
		const tried = new Set<string>();
		let result: SendResult = {execution: Execution.NotRun, reason: 'no live backend server offers the operation'};
		for (let server = this.selectServer(request, tried); server && this.isBeforeDeadline(request); server = this.selectServer(request, tried)) {
			tried.add(server.listed.id);
			result = await this.send(server, request); // eslint-disable-line no-await-in-loop
			if (result.execution !== Execution.NotRun) {
				return result;
			}
		}

		return result;
	}

	private async executeWithRetries(request: PlainRequest): Promise<PlainAnswer> {
		const tried = new Set<string>();
		let result: SendResult = {execution: Execution.NotRun, reason: 'no live backend server offers the operation'};
		let isRetryDenied = false;
		for (let count = 0; count < maxAttempts && this.isBeforeDeadline(request); count++) {
			const server = this.selectServer(request, tried) ?? this.selectServer(request, new Set());
			if (!server) {
				break;
			}

			isRetryDenied = count > 0 && !this.dependencies.retryBudget.tryAcquire(this.dependencies.timers.now(), RetryUrgency.Ordinary);
			if (isRetryDenied) {
				break;
			}

			if (count > 0) {
				await this.pauseBeforeRetry(count, request); // eslint-disable-line no-await-in-loop
				if (!this.isBeforeDeadline(request)) {
					break;
				}
			}

			tried.add(server.listed.id);
			const latest = await this.send(server, request); // eslint-disable-line no-await-in-loop
			if (latest.answer) {
				return latest.answer;
			}

			// A retry that was not executed says nothing about the attempts before it.
			result = result.execution === Execution.Unknown ? {...latest, execution: Execution.Unknown} : latest;
		}

		throw this.createFailure(request, result, isRetryDenied);
	}

	/** Creates the failure of a request whose last attempt had no answer. */
	private createFailure(request: PlainRequest, {reason = 'no response was received', execution}: SendResult, isRetryDenied: boolean): Failure {
		if (!this.isBeforeDeadline(request)) {
			return new Failure(ResultCode.DeadlinePassed, reason, execution);
		}

		return isRetryDenied
			? new Failure(ResultCode.RetryBudgetSpent, `${reason}, and the retry budget is spent`, execution)
			: new Failure(ResultCode.BackendFailed, reason, execution);
	}

	/** Waits until the next attempt is due, or until the deadline. */
	private async pauseBeforeRetry(count: number, {deadline}: PlainRequest): Promise<void> {
		const {timers, random} = this.dependencies;
		await timers.sleep(Math.min(baseRetryDelayMs * (2 ** count) * random.nextFraction(), deadline - timers.now()));
	}

	private isBeforeDeadline(request: PlainRequest): boolean {
		return this.dependencies.timers.now() < request.deadline;
	}

	private selectServer(request: PlainRequest, tried: ReadonlySet<string>): ServerState | undefined {
		const now = this.dependencies.timers.now();
		const usable = this.dependencies.fleet.findUsableServers(request.operation.service, '', now);
		// A suspicion may be wrong: if no other server is left, a suspected one is tried.
		return this.findLeastLoaded(usable, tried) ?? this.findLeastLoaded(this.dependencies.fleet.findUsableServers(request.operation.service, '', Number.POSITIVE_INFINITY), tried);
	}

	private findLeastLoaded(usable: readonly ServerState[], tried: ReadonlySet<string>): ServerState | undefined {
		let best: ServerState | undefined;
		for (const server of usable) {
			if (!tried.has(server.listed.id) && (!best || computeLoad(server) < computeLoad(best))) {
				best = server;
			}
		}

		return best;
	}

	private async send(server: ServerState, request: PlainRequest): Promise<SendResult> {
		const stage = {server: server.listed.id};
		const timeout = Math.max(1, Math.min(this.dependencies.callTimeout, request.deadline - this.dependencies.timers.now()));
		this.dependencies.fleet.recordStart([stage]);
		try {
			const result = await this.dependencies.tracing.runInSpan(`plain ${request.operation.name}`, {server: server.listed.id}, async () => this.dependencies.service.call(server.listed.address, {
				request: request.id, operation: request.operation.name, body: request.body, key: request.key, headers: this.dependencies.tracing.inject(),
			}, timeout));
			if (!result.answer && !result.isServiceAnswer) {
				this.dependencies.fleet.markSuspect(server.listed.id, this.dependencies.timers.now());
			}

			return result;
		} finally {
			this.dependencies.fleet.recordEnd([stage]);
		}
	}
}
