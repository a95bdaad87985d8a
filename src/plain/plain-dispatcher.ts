import {type ActionExecutor} from '../actions/action-executor.js';
import {computeFingerprint} from '../actions/action.js';
import {type SendResult} from '../actions/send-result.js';
import {type RetryBudget} from '../admission/retry-budget.js';
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

const mostTries = 4;
const retryPauseMs = 25;

/** What the dispatcher needs. */
export type PlainDispatcherDependencies = {
	readonly service: PlainService;
	readonly ledger: ActionExecutor;
	readonly fleet: Fleet;
	readonly retryBudget: RetryBudget;
	readonly tracing: Tracing;
	readonly timers: TimerService;
	readonly random: RandomSource;
	/** Milliseconds for a server's answer. */
	readonly callTimeout: number;
};

/** Sends requests to plain services: idempotent ones again where a server fails, one-time actions through the ledger. */
export class PlainDispatcher {
	constructor(private readonly parts: PlainDispatcherDependencies) {}

	/** Carries out a request. Throws Failure. */
	async dispatch(request: PlainRequest): Promise<PlainAnswer> {
		this.parts.retryBudget.recordRequest(this.parts.timers.now());
		return request.operation.isIdempotent ? this.repeat(request) : this.runOnce(request);
	}

	private async runOnce(request: PlainRequest): Promise<PlainAnswer> {
		const {service, name} = request.operation;
		const action = {
			workspace: request.workspace.name,
			key: request.key,
			fingerprint: computeFingerprint(service, name, request.body),
			attempt: request.id,
			deadline: request.deadline,
		};
		return this.parts.ledger.run(action, async () => this.sendUntilTransmitted(request));
	}

	/** Sends to one server after another until the bytes of one call may have left. */
	private async sendUntilTransmitted(request: PlainRequest): Promise<SendResult> {
		const tried = new Set<string>();
		let result: SendResult = {execution: Execution.NotRun, reason: 'no live backend server offers the operation'};
		for (let server = this.pick(request, tried); server && this.isInTime(request); server = this.pick(request, tried)) {
			tried.add(server.listed.id);
			result = await this.send(server, request); // eslint-disable-line no-await-in-loop
			if (result.execution !== Execution.NotRun) {
				return result;
			}
		}

		return result;
	}

	private async repeat(request: PlainRequest): Promise<PlainAnswer> {
		const tried = new Set<string>();
		let result: SendResult = {execution: Execution.NotRun, reason: 'no live backend server offers the operation'};
		for (let count = 0; count < mostTries && this.isInTime(request); count++) {
			const server = this.pick(request, tried) ?? this.pick(request, new Set());
			if (!server || (count > 0 && !this.parts.retryBudget.tryAcquire(this.parts.timers.now()))) {
				break;
			}

			if (count > 0) {
				await this.parts.timers.sleep(retryPauseMs * (2 ** count) * this.parts.random.nextFraction()); // eslint-disable-line no-await-in-loop
			}

			tried.add(server.listed.id);
			const latest = await this.send(server, request); // eslint-disable-line no-await-in-loop
			if (latest.answer) {
				return latest.answer;
			}

			// A repetition that was not run says nothing of the tries before it.
			result = result.execution === Execution.Unknown ? {...latest, execution: Execution.Unknown} : latest;
		}

		const code = this.isInTime(request) ? ResultCode.BackendFailed : ResultCode.DeadlinePassed;
		throw new Failure(code, result.reason ?? 'no answer came', result.execution);
	}

	private isInTime(request: PlainRequest): boolean {
		return this.parts.timers.now() < request.deadline;
	}

	private pick(request: PlainRequest, tried: ReadonlySet<string>): ServerState | undefined {
		const now = this.parts.timers.now();
		const usable = this.parts.fleet.findUsableServers(request.operation.service, '', now);
		// Suspicion is a hint: where nothing else is left, a suspect is tried.
		return this.leastLoaded(usable, tried) ?? this.leastLoaded(this.parts.fleet.findUsableServers(request.operation.service, '', Number.POSITIVE_INFINITY), tried);
	}

	private leastLoaded(usable: readonly ServerState[], tried: ReadonlySet<string>): ServerState | undefined {
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
		const limit = Math.max(1, Math.min(this.parts.callTimeout, request.deadline - this.parts.timers.now()));
		this.parts.fleet.recordStart([stage]);
		try {
			const result = await this.parts.tracing.runInSpan(`plain ${request.operation.name}`, {server: server.listed.id}, async () => this.parts.service.call(server.listed.address, {
				request: request.id, operation: request.operation.name, body: request.body, key: request.key, headers: this.parts.tracing.inject(),
			}, limit));
			if (!result.answer && !result.isServiceAnswer) {
				this.parts.fleet.markSuspect(server.listed.id, this.parts.timers.now());
			}

			return result;
		} finally {
			this.parts.fleet.recordEnd([stage]);
		}
	}
}
