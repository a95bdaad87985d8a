import {RetryUrgency} from '../admission/retry-urgency.js';
import {type Frame} from '../backends/frame.js';
import {type StageStatus} from '../backends/stage-status.js';
import {ResultCode} from '../results/result-code.js';
import {AttemptPair} from './attempt-pair.js';
import {AttemptPlanner} from './attempt-planner.js';
import {FrameValidator, type InvalidFrame} from './frame-validator.js';
import {SlowdownMonitor} from './slowdown-monitor.js';
import {diagnoseStall, StallCause} from './stall-diagnosis.js';
import {type RouteAttempt} from './route-attempt.js';
import {type StreamCommand, StreamCommandKind} from './stream-command.js';
import {type StreamEvent, StreamEventKind} from './stream-event.js';
import {createStreamFailure} from './stream-failure.js';
import {type StreamRecoveryOptions} from './stream-recovery-options.js';

function createSuspectCommands(suspects: ReadonlySet<string>): readonly StreamCommand[] {
	return [...suspects].map((server): StreamCommand => ({kind: StreamCommandKind.Suspect, server}));
}

/**
State machine that continues one answer across failures: it receives events and returns commands.

Tokens already delivered to the caller are never repeated. When tokens stop arriving, the stages are inspected over new connections before any server is suspected. If a server does not respond, another attempt starts on another route, and the silent attempt is kept until the first token of either. If only a connection is silent, just the connection is replaced; a stage that is merely slow is given more time.
*/
export class StreamRecovery {
	private readonly validator: FrameValidator;
	private readonly slowdownMonitor: SlowdownMonitor;
	private readonly planner: AttemptPlanner;
	private readonly running: AttemptPair;
	private hasEnded = false;

	constructor(private readonly options: StreamRecoveryOptions, now: number) {
		this.validator = new FrameValidator(options.layers);
		this.slowdownMonitor = new SlowdownMonitor(options.slowTokenGap);
		this.planner = new AttemptPlanner(options, now);
		this.running = new AttemptPair(this.planner);
	}

	/** Number of tokens delivered to the caller. */
	get delivered(): number {
		return this.validator.nextIndex;
	}

	/** Number of attempts started so far. */
	get attempts(): number {
		return this.planner.attempts;
	}

	/** Whether the answer is complete, has failed or was cancelled by the caller. */
	get isOver(): boolean {
		return this.hasEnded;
	}

	/**
	Handles an event and returns the commands to carry out, in order.

	@param now - monotonic time in milliseconds
	*/
	handle(event: StreamEvent, now: number): readonly StreamCommand[] {
		if (this.hasEnded) {
			return [];
		}

		switch (event.kind) {
			case StreamEventKind.Begin: {
				return this.running.start(now);
			}

			case StreamEventKind.Frames: {
				const attempt = this.running.getByConnection(event.connection);
				return attempt ? this.receive(attempt, event.frames, now) : [];
			}

			case StreamEventKind.Closed: {
				const attempt = this.running.getByConnection(event.connection);
				return attempt ? this.handleClosed(attempt, event.unreachableServer, now) : [];
			}

			case StreamEventKind.Tick: {
				return this.handleTick(now);
			}

			case StreamEventKind.Inspected: {
				const {current} = this.running;
				return event.attempt === current?.number ? this.handleInspected(current, event.statuses, now) : [];
			}

			case StreamEventKind.CallerGone: {
				return this.end([]);
			}
		}
	}

	private receive(attempt: RouteAttempt, frames: readonly Frame[], now: number): readonly StreamCommand[] {
		const {tokens, finish, invalid} = this.validator.validateAll(frames, attempt.number, attempt.route);
		const continueCommands = tokens.length > 0 ? this.continueWith(attempt, tokens.length, now) : [];
		const commands: readonly StreamCommand[] = [{kind: StreamCommandKind.Deliver, tokens}, ...continueCommands];
		if (invalid) {
			return [...commands, ...this.reject(attempt, invalid, now)];
		}

		if (finish !== undefined) {
			this.hasEnded = true;
			return [...commands, {kind: StreamCommandKind.Finish, reason: finish}];
		}

		const isSlow = tokens.length > 0 && this.slowdownMonitor.tryBeginInspection(attempt);
		return isSlow ? [...commands, attempt.createInspectCommand()] : commands;
	}

	private continueWith(attempt: RouteAttempt, tokens: number, now: number): readonly StreamCommand[] {
		this.slowdownMonitor.record(attempt, tokens, now);
		return this.running.continueWith(attempt, now);
	}

	private reject(attempt: RouteAttempt, {reason, stage}: InvalidFrame, now: number): readonly StreamCommand[] {
		const rejectCommand: StreamCommand = {kind: StreamCommandKind.Reject, reason};
		if (stage === undefined && attempt !== this.running.silent) {
			return [rejectCommand, ...this.restart(attempt, attempt.getServers([attempt.route.length - 1]), now)];
		}

		const suspects = attempt.getServers(stage === undefined ? [] : [stage]);
		return [rejectCommand, ...this.giveUp(attempt, suspects, now)];
	}

	private handleClosed(attempt: RouteAttempt, unreachableServer: string | undefined, now: number): readonly StreamCommand[] {
		const {silent} = this.running;
		const suspects = attempt.getServers([...attempt.route.keys()].filter(stage => attempt.route[stage].server === unreachableServer));
		attempt.isConnectionOpen = false;
		if (attempt === silent || suspects.size > 0) {
			return this.giveUp(attempt, suspects, now);
		}

		// The last stage may have refused the attempt, so the next one avoids that server without suspecting it.
		return silent ? this.running.replace(attempt, attempt.getServers([attempt.route.length - 1]), now) : this.inspect(attempt);
	}

	private inspect(attempt: RouteAttempt): readonly StreamCommand[] {
		attempt.isInspecting = true;
		return [attempt.createInspectCommand()];
	}

	private handleTick(now: number): readonly StreamCommand[] {
		if (now >= this.options.deadline) {
			return this.fail(ResultCode.DeadlinePassed, 'the deadline passed before the answer was complete');
		}

		const dropCommands = this.running.dropExpired(now);
		const {current} = this.running;
		if (!current) {
			return [...dropCommands, ...this.plan(now)];
		}

		const isDue = current.isInspectionDue(now, this.delivered > 0);
		return isDue ? [...dropCommands, ...this.inspect(current)] : dropCommands;
	}

	private plan(now: number): readonly StreamCommand[] {
		const commands = this.running.start(now);
		if (this.running.silent) {
			this.planner.restartTimeout(now);
		}

		const isWaiting = commands.length > 0 || !this.planner.hasTimedOut(now);
		return isWaiting ? commands : this.fail(ResultCode.NoPipeline, 'no pipeline of live backend servers covers the layers');
	}

	private handleInspected(attempt: RouteAttempt, statuses: ReadonlyArray<StageStatus | undefined>, now: number): readonly StreamCommand[] {
		if (!attempt.isInspecting) {
			return attempt.isInspectingSlowdown ? this.moveOffSlowStages(attempt, statuses, now) : [];
		}

		const {cause, stages} = attempt.diagnose(statuses, this.delivered);
		const suspects = attempt.getServers(stages);
		switch (cause) {
			case StallCause.ServersLost: {
				return attempt.mayBeKept(now) ? this.keep(attempt, suspects, now) : this.replace(attempt, suspects, now);
			}

			case StallCause.Stuck: {
				return this.replace(attempt, suspects, now);
			}

			case StallCause.AttemptForgotten: {
				return this.restart(attempt, suspects, now);
			}

			case StallCause.ConnectionSilent: {
				return this.attach(attempt, now);
			}

			case StallCause.Slow: {
				// The connection may be closed, so it is replaced even if the stages are merely slow.
				return attempt.isInspectionLimitReached ? this.replace(attempt, suspects, now) : this.attach(attempt, now);
			}
		}
	}

	/** Moves a slow stream away from the stages that hold its batch, if there is another route and the retry budget allows it. */
	private moveOffSlowStages(attempt: RouteAttempt, statuses: ReadonlyArray<StageStatus | undefined>, now: number): readonly StreamCommand[] {
		attempt.isInspectingSlowdown = false;
		const suspects = attempt.getServers(diagnoseStall(statuses, [], this.delivered).stages);
		if (suspects.size === 0 || !this.planner.hasUnusedRoute(suspects, attempt.route, now) || !this.options.tryAcquireRetry(RetryUrgency.Ordinary)) {
			return [];
		}

		return this.running.replace(attempt, suspects, now);
	}

	private attach(attempt: RouteAttempt, now: number): readonly StreamCommand[] {
		return [attempt.attach(this.planner.takeConnection(), this.delivered, now)];
	}

	/** Keeps an attempt whose servers do not respond. They receive no new requests for a while. */
	private keep(attempt: RouteAttempt, suspects: ReadonlySet<string>, now: number): readonly StreamCommand[] {
		return [...createSuspectCommands(suspects), ...this.running.keep(attempt, suspects, now)];
	}

	/** Cancels an attempt that cannot go on. Unless another one goes on, the next one starts without the suspects. */
	private giveUp(attempt: RouteAttempt, suspects: ReadonlySet<string>, now: number): readonly StreamCommand[] {
		if (attempt === this.running.silent) {
			return [...createSuspectCommands(suspects), ...this.running.dropSilent()];
		}

		return this.replace(attempt, suspects, now);
	}

	/** Cancels the current attempt and starts another one without the suspects, unless too many attempts have failed. */
	private replace(attempt: RouteAttempt, suspects: ReadonlySet<string>, now: number): readonly StreamCommand[] {
		return [...createSuspectCommands(suspects), ...this.restart(attempt, suspects, now)];
	}

	/** Cancels the current attempt and starts another one, if possible without servers that failed it, unless too many attempts have failed. */
	private restart(attempt: RouteAttempt, failedServers: ReadonlySet<string>, now: number): readonly StreamCommand[] {
		const refusal = this.running.silent ? undefined : this.planner.requestRetry(this.delivered > 0 ? RetryUrgency.Begun : RetryUrgency.Ordinary);
		return refusal ? this.fail(refusal.code, refusal.message) : this.running.replace(attempt, failedServers, now);
	}

	private fail(code: ResultCode, message: string): readonly StreamCommand[] {
		const failure = createStreamFailure(code, message, {attempts: this.attempts, delivered: this.delivered});
		return this.end([{kind: StreamCommandKind.Fail, failure}]);
	}

	private end(commands: readonly StreamCommand[]): readonly StreamCommand[] {
		this.hasEnded = true;
		return [...this.running.cancelAll(), ...commands];
	}
}
