import {type FinishReason} from '../backends/finish-reason.js';
import {type Frame} from '../backends/frame.js';
import {type StageStatus} from '../backends/stage-status.js';
import {type Route} from '../backends/stage.js';
import {ResultCode} from '../results/result-code.js';
import {FrameValidator, findInvalidStage, FrameValidity} from './frame-validator.js';
import {diagnoseStall, StallCause} from './stall-diagnosis.js';
import {TokenRateMonitor} from './token-rate-monitor.js';
import {type StreamCommand, StreamCommandKind} from './stream-command.js';
import {StallDetector} from './stall-detector.js';
import {type StreamEvent, StreamEventKind} from './stream-event.js';
import {createStreamFailure} from './stream-failure.js';
import {type StreamRecoveryOptions} from './stream-recovery-options.js';

const maximumAttempts = 8;
const maximumMoves = 2;
const planningTimeoutMs = 1500;
/** Time for which an attempt whose stages do not respond is kept if there is no other route. */
const keepTimeoutMs = 1500;

enum Phase {
	Planning,
	Running,
	Inspecting,
	Over,
}

/**
State machine that continues one answer across failures: it receives events and returns commands.

Tokens already delivered to the caller are never repeated. When tokens stop arriving, the stages are inspected over new connections before any server is suspected. A server that does not respond is replaced if there is another route; if only a connection is silent, just the connection is replaced; a stage that is merely slow is given more time.
*/
export class StreamRecovery {
	private readonly validator: FrameValidator;
	private readonly tokenRate: TokenRateMonitor;
	private readonly stallDetector: StallDetector;
	private moves = 0;
	private isInspectingSlowdown = false;
	private readonly excluded = new Set<string>();
	private phase = Phase.Planning;
	private route: Route = [];
	private attempt = 0;
	private connection = 0;
	private planningSince: number;
	private retryNotBefore = Number.NEGATIVE_INFINITY;
	/** Whether the current connection was not closed by its other end. */
	private isConnectionOpen = false;
	/** Monotonic time since which the attempt is kept although a stage does not respond. */
	private keptSince?: number;
	private previousStatuses: ReadonlyArray<StageStatus | undefined> = [];

	constructor(private readonly options: StreamRecoveryOptions, now: number) {
		this.validator = new FrameValidator(options.layers);
		this.tokenRate = new TokenRateMonitor(options.slowTokenGap);
		this.stallDetector = new StallDetector(options, now);
		this.planningSince = now;
	}

	/** Number of tokens delivered to the caller. */
	get delivered(): number {
		return this.validator.nextIndex;
	}

	/** Number of attempts started so far. */
	get attempts(): number {
		return this.attempt;
	}

	/** Whether the answer is complete, has failed or was cancelled by the caller. */
	get isOver(): boolean {
		return this.phase === Phase.Over;
	}

	/**
	Handles an event and returns the commands to carry out, in order.

	@param now - monotonic time in milliseconds
	*/
	handle(event: StreamEvent, now: number): readonly StreamCommand[] {
		if (this.phase === Phase.Over) {
			return [];
		}

		switch (event.kind) {
			case StreamEventKind.Begin: {
				return this.begin(now);
			}

			case StreamEventKind.Frames: {
				return event.connection === this.connection ? this.receive(event.frames, now) : [];
			}

			case StreamEventKind.Closed: {
				return event.connection === this.connection ? this.handleClosed(event.unreachableServer, now) : [];
			}

			case StreamEventKind.Tick: {
				return this.handleTick(now);
			}

			case StreamEventKind.Inspected: {
				return event.attempt === this.attempt ? this.handleInspected(event.statuses, now) : [];
			}

			case StreamEventKind.CallerGone: {
				return this.end([]);
			}
		}
	}

	/** Finds a route and starts an attempt. Servers that failed this request earlier are used again only if there is no other route. */
	private begin(now: number, failedServers: ReadonlySet<string> = new Set()): readonly StreamCommand[] {
		this.phase = Phase.Planning;
		if (now < this.retryNotBefore) {
			return [];
		}

		const route = this.options.findRoute(this.excluded, this.route, now) ?? this.options.findRoute(failedServers, this.route, now);
		if (!route) {
			return [];
		}

		this.route = route;
		this.attempt++;
		this.connection++;
		this.stallDetector.reset(now);
		this.previousStatuses = [];
		this.isConnectionOpen = true;
		this.keptSince = undefined;
		this.phase = Phase.Running;
		return [{
			kind: StreamCommandKind.Run, attempt: this.attempt, connection: this.connection, route,
		}];
	}

	private receive(frames: readonly Frame[], now: number): readonly StreamCommand[] {
		const tokens: string[] = [];
		let finish: FinishReason | undefined;
		for (const frame of frames) {
			const validity = this.validator.validate(frame, this.attempt, this.route);
			if (validity === FrameValidity.Gap || validity === FrameValidity.LayersViolated) {
				const invalidStage = findInvalidStage(frame.receipts, this.route, this.options.layers);
				const suspects = new Set(invalidStage === undefined ? [] : [this.route[invalidStage].server]);
				const reject: StreamCommand = {kind: StreamCommandKind.Reject, reason: `${validity} at token ${frame.index}, ${this.delivered} are delivered`};
				return [this.deliver(tokens), reject, ...this.replace(suspects, now)];
			}

			if (validity === FrameValidity.Accepted) {
				tokens.push(frame.text);
				({finish} = frame);
			}
		}

		if (tokens.length > 0) {
			this.tokenRate.record(tokens.length, this.stallDetector.getIdleTime(now));
			this.stallDetector.reset(now);
			this.keptSince = undefined;
			this.phase = Phase.Running;
		}

		const deliver = this.deliver(tokens);
		if (finish === undefined) {
			return [deliver, ...this.inspectSlowdown()];
		}

		this.phase = Phase.Over;
		return [deliver, {kind: StreamCommandKind.Finish, reason: finish}];
	}

	/** Requests an inspection if the stream has become much slower than before. */
	private inspectSlowdown(): readonly StreamCommand[] {
		if (this.isInspectingSlowdown || this.moves >= maximumMoves || !this.tokenRate.hasSlowedDown()) {
			return [];
		}

		this.moves++;
		this.isInspectingSlowdown = true;
		return [{kind: StreamCommandKind.Inspect, attempt: this.attempt, route: this.route}];
	}

	private deliver(tokens: readonly string[]): StreamCommand {
		return {kind: StreamCommandKind.Deliver, tokens};
	}

	private handleClosed(unreachableServer: string | undefined, now: number): readonly StreamCommand[] {
		this.isConnectionOpen = false;
		if (unreachableServer !== undefined && this.route.some(({server}) => server === unreachableServer)) {
			return this.replace(new Set([unreachableServer]), now);
		}

		return this.inspect();
	}

	private inspect(): readonly StreamCommand[] {
		this.phase = Phase.Inspecting;
		return [{kind: StreamCommandKind.Inspect, attempt: this.attempt, route: this.route}];
	}

	private handleTick(now: number): readonly StreamCommand[] {
		if (now >= this.options.deadline) {
			return this.fail(ResultCode.DeadlinePassed, 'the deadline passed before the answer was complete');
		}

		if (this.phase === Phase.Planning) {
			const commands = this.begin(now);
			const isWithinTimeout = now - this.planningSince < planningTimeoutMs;
			return commands.length > 0 || isWithinTimeout ? commands : this.fail(ResultCode.NoPipeline, 'no pipeline of live backend servers covers the layers');
		}

		return this.phase === Phase.Running && this.stallDetector.isInspectionDue(now, this.delivered > 0) ? this.inspect() : [];
	}

	private handleInspected(statuses: ReadonlyArray<StageStatus | undefined>, now: number): readonly StreamCommand[] {
		if (this.phase !== Phase.Inspecting) {
			return this.isInspectingSlowdown ? this.moveOffSlowStages(statuses, now) : [];
		}

		const stallDiagnosis = diagnoseStall(statuses, this.previousStatuses, this.delivered);
		this.previousStatuses = statuses;
		this.stallDetector.recordInspection(stallDiagnosis.isOnLink);
		const suspects = new Set(stallDiagnosis.stages.map(index => this.route[index].server));
		switch (stallDiagnosis.cause) {
			case StallCause.ServersLost: {
				return this.mayKeep(suspects, now) ? this.keep(suspects, now) : this.replace(suspects, now);
			}

			case StallCause.Stuck: {
				return this.replace(suspects, now);
			}

			case StallCause.AttemptForgotten: {
				return this.replace(new Set(), now);
			}

			case StallCause.ConnectionSilent: {
				return this.attach(now);
			}

			case StallCause.Slow: {
				if (this.stallDetector.isInspectionLimitReached) {
					return this.replace(suspects, now);
				}

				// The connection may be closed, so it is replaced even if the stages are merely slow.
				return this.attach(now);
			}
		}
	}

	/** Moves a slow stream away from the stages that hold its batch, if there is another route and the retry budget allows it. */
	private moveOffSlowStages(statuses: ReadonlyArray<StageStatus | undefined>, now: number): readonly StreamCommand[] {
		this.isInspectingSlowdown = false;
		const {stages} = diagnoseStall(statuses, [], this.delivered);
		const suspects = new Set(stages.map(index => this.route[index].server));
		const hasAlternative = this.options.findRoute(new Set([...this.excluded, ...suspects]), this.route, now) !== undefined;
		if (suspects.size === 0 || !hasAlternative || !this.options.tryAcquireRetry()) {
			return [];
		}

		return this.restart(suspects, now);
	}

	/** Whether to wait for stages that do not respond: they may only pause, and no other route can take the attempt over. */
	private mayKeep(suspects: ReadonlySet<string>, now: number): boolean {
		const isWithinTimeout = now - (this.keptSince ?? now) < keepTimeoutMs;
		return this.isConnectionOpen && isWithinTimeout && !this.hasAlternative(suspects, now);
	}

	private hasAlternative(suspects: ReadonlySet<string>, now: number): boolean {
		const {findRoute} = this.options;
		return (findRoute(new Set([...this.excluded, ...suspects]), this.route, now) ?? findRoute(suspects, this.route, now)) !== undefined;
	}

	/** Keeps the attempt, whose stages are inspected again if no token arrives. */
	private keep(suspects: ReadonlySet<string>, now: number): readonly StreamCommand[] {
		this.keptSince ??= now;
		this.phase = Phase.Running;
		this.stallDetector.restartTimer(now);
		return this.createSuspectCommands(suspects);
	}

	private createSuspectCommands(suspects: ReadonlySet<string>): readonly StreamCommand[] {
		return [...suspects].map((server): StreamCommand => ({kind: StreamCommandKind.Suspect, server}));
	}

	private attach(now: number): readonly StreamCommand[] {
		this.connection++;
		this.isConnectionOpen = true;
		this.phase = Phase.Running;
		this.stallDetector.restartTimer(now);
		return [{
			kind: StreamCommandKind.Attach, attempt: this.attempt, connection: this.connection, route: this.route, from: this.delivered,
		}];
	}

	/** Cancels the attempt and starts another one without the suspects, unless too many attempts have failed. */
	private replace(suspects: ReadonlySet<string>, now: number): readonly StreamCommand[] {
		const suspectCommands = this.createSuspectCommands(suspects);
		if (this.attempt >= maximumAttempts) {
			return [...suspectCommands, ...this.fail(ResultCode.BackendFailed, `${this.attempt} attempts failed`)];
		}

		// The first retry of a stream only moves its work to other servers. Further retries multiply the work, so they need the retry budget.
		if (this.attempt > 1 && !this.options.tryAcquireRetry()) {
			return [...suspectCommands, ...this.fail(ResultCode.RetryBudgetSpent, 'a backend server failed and the retry budget is spent')];
		}

		return [...suspectCommands, ...this.restart(suspects, now)];
	}

	private restart(failedServers: ReadonlySet<string>, now: number): readonly StreamCommand[] {
		const cancelCommand: StreamCommand = {kind: StreamCommandKind.Cancel, attempt: this.attempt, route: this.route};
		for (const server of failedServers) {
			this.excluded.add(server);
		}

		this.connection++;
		this.tokenRate.reset();
		this.isInspectingSlowdown = false;
		// The first retry starts immediately, because the caller is waiting for the next token.
		this.retryNotBefore = this.attempt < 2 ? now : now + this.options.getRetryDelay(this.attempt);
		this.planningSince = this.retryNotBefore;
		return [cancelCommand, ...this.begin(now, failedServers)];
	}

	private fail(code: ResultCode, message: string): readonly StreamCommand[] {
		const failure = createStreamFailure(code, message, {attempts: this.attempt, delivered: this.delivered});
		return this.end([{kind: StreamCommandKind.Fail, failure}]);
	}

	private end(commands: readonly StreamCommand[]): readonly StreamCommand[] {
		const cancelCommands: readonly StreamCommand[] = this.attempt > 0 ? [{kind: StreamCommandKind.Cancel, attempt: this.attempt, route: this.route}] : [];
		this.phase = Phase.Over;
		return [...cancelCommands, ...commands];
	}
}
