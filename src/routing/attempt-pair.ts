import {RetryUrgency} from '../admission/retry-urgency.js';
import {type Route} from '../backends/stage.js';
import {type AttemptPlanner} from './attempt-planner.js';
import {type RouteAttempt} from './route-attempt.js';
import {type StreamCommand} from './stream-command.js';

/**
The running attempts of a stream, two at most: the current one, and an earlier one whose servers do not respond.

Whether another route accepts an attempt is known only from its first token. Until then the silent attempt is kept, because it may go on first.
*/
export class AttemptPair {
	private currentAttempt?: RouteAttempt;
	private silentAttempt?: RouteAttempt;
	/** Route of the attempt that started or went on last. */
	private route: Route = [];

	constructor(private readonly planner: AttemptPlanner) {}

	/** The attempt that is expected to go on; undefined while a route is sought. */
	get current(): RouteAttempt | undefined {
		return this.currentAttempt;
	}

	/** An earlier attempt that may still go on before the current one. */
	get silent(): RouteAttempt | undefined {
		return this.silentAttempt;
	}

	/** The running attempts, oldest first. */
	get all(): readonly RouteAttempt[] {
		return [this.silentAttempt, this.currentAttempt].filter(attempt => attempt !== undefined);
	}

	/** Returns the attempt to which the events of a connection belong; undefined if it no longer runs. */
	getByConnection(connection: number): RouteAttempt | undefined {
		return this.all.find(attempt => attempt.connection === connection);
	}

	/**
	Starts the next attempt as soon as its delay has passed and there is a route.

	@param failedServers - servers that it avoids beside those that are silent
	@param now - monotonic time in milliseconds
	*/
	start(now: number, failedServers: ReadonlySet<string> = new Set()): readonly StreamCommand[] {
		const avoided = this.getAvoided(failedServers);
		this.currentAttempt = this.planner.start(avoided, this.silentAttempt?.route ?? this.route, now);
		if (!this.currentAttempt) {
			return [];
		}

		this.route = this.currentAttempt.route;
		return [this.currentAttempt.createRunCommand()];
	}

	/** Goes on with the attempt whose tokens were accepted, and cancels the other one. */
	continueWith(attempt: RouteAttempt, now: number): readonly StreamCommand[] {
		const others = this.all.filter(other => other !== attempt);
		this.planner.readmit(attempt.silentServers);
		attempt.recordTokens(now);
		this.currentAttempt = attempt;
		this.silentAttempt = undefined;
		this.route = attempt.route;
		return others.map(other => other.createCancelCommand());
	}

	/** Keeps the current attempt, whose servers may only pause, and starts another one beside it if possible. If two are silent, a third one takes the place of the current one. */
	keep(attempt: RouteAttempt, suspects: ReadonlySet<string>, now: number): readonly StreamCommand[] {
		if (!this.silentAttempt) {
			attempt.recordSilence(suspects, now);
			return this.startBeside(attempt, suspects, now);
		}

		if (this.mayStartBeside(this.silentAttempt, suspects, now)) {
			return [attempt.createCancelCommand(), ...this.startNext(suspects, now)];
		}

		attempt.recordSilence(suspects, now);
		return [];
	}

	/** Cancels the current attempt and starts another one. A silent attempt is kept beside it; if no other can start, the silent one goes on alone. */
	replace(attempt: RouteAttempt, failedServers: ReadonlySet<string>, now: number): readonly StreamCommand[] {
		const cancelCommand = attempt.createCancelCommand();
		if (this.silentAttempt) {
			return [cancelCommand, ...this.startBeside(this.silentAttempt, failedServers, now)];
		}

		return [cancelCommand, ...this.startNext(failedServers, now)];
	}

	/** Cancels the silent attempt, if any. */
	dropSilent(): readonly StreamCommand[] {
		const dropped = this.silentAttempt;
		this.silentAttempt = undefined;
		return dropped ? [dropped.createCancelCommand()] : [];
	}

	/** Cancels the silent attempt if it was kept for long enough. */
	dropExpired(now: number): readonly StreamCommand[] {
		return this.silentAttempt?.mayBeKept(now) === false ? this.dropSilent() : [];
	}

	/** Cancels all attempts. */
	cancelAll(): readonly StreamCommand[] {
		const commands = this.all.map(attempt => attempt.createCancelCommand());
		this.currentAttempt = undefined;
		this.silentAttempt = undefined;
		return commands;
	}

	private startBeside(silent: RouteAttempt, failedServers: ReadonlySet<string>, now: number): readonly StreamCommand[] {
		this.silentAttempt = silent;
		if (this.mayStartBeside(silent, failedServers, now)) {
			return this.startNext(failedServers, now);
		}

		this.currentAttempt = silent;
		this.silentAttempt = undefined;
		silent.resume(now);
		return [];
	}

	/** Whether another attempt may run beside the silent one. Takes a retry from the budget if so. */
	private mayStartBeside(silent: RouteAttempt, failedServers: ReadonlySet<string>, now: number): boolean {
		return this.planner.hasRoute(this.getAvoided(failedServers), silent.route, now) && this.planner.requestRetry(RetryUrgency.Ordinary) === undefined;
	}

	private startNext(failedServers: ReadonlySet<string>, now: number): readonly StreamCommand[] {
		this.planner.scheduleRetry(this.getAvoided(failedServers), now);
		return this.start(now, failedServers);
	}

	private getAvoided(failedServers: ReadonlySet<string>): ReadonlySet<string> {
		return new Set([...this.silentAttempt?.silentServers ?? [], ...failedServers]);
	}
}
