import {type StageStatus} from '../backends/stage-status.js';
import {type Route} from '../backends/stage.js';
import {diagnoseStall, type StallDiagnosis} from './stall-diagnosis.js';
import {StallDetector} from './stall-detector.js';
import {type StreamCommand, StreamCommandKind} from './stream-command.js';
import {type StreamRecoveryOptions} from './stream-recovery-options.js';

/** Time for which an attempt whose stages do not respond is kept. */
const keepTimeoutMs = 1500;

/** Identifies an attempt, its first connection and its route. */
export type RouteAttemptOrigin = {
	readonly number: number;
	readonly connection: number;
	readonly route: Route;
};

/** State of one attempt of a stream on a route: its connection, its inspections, and the servers that do not respond. */
export class RouteAttempt {
	/** Number of the attempt; the first one of a request is 1. */
	readonly number: number;
	readonly route: Route;
	/** Whether the result of an inspection of a stopped attempt is expected. */
	isInspecting = false;
	/** Whether the result of an inspection of a slow attempt is expected. */
	isInspectingSlowdown = false;
	/** Whether the current connection was not closed by its other end. */
	isConnectionOpen = true;
	private readonly stallDetector: StallDetector;
	private currentConnection: number;
	private previousStatuses: ReadonlyArray<StageStatus | undefined> = [];
	/** Monotonic time since which the attempt is kept although a stage does not respond. */
	private silentSince?: number;
	private readonly silent = new Set<string>();

	/**
	@param now - monotonic time in milliseconds
	*/
	constructor({number, connection, route}: RouteAttemptOrigin, options: StreamRecoveryOptions, now: number) {
		this.number = number;
		this.currentConnection = connection;
		this.route = route;
		this.stallDetector = new StallDetector(options, now);
	}

	/** Number of the connection whose events belong to the attempt. */
	get connection(): number {
		return this.currentConnection;
	}

	/** Servers that did not respond to inspections since the last token. */
	get silentServers(): ReadonlySet<string> {
		return this.silent;
	}

	/** Whether the attempt was inspected so often without a token that it counts as stuck. */
	get isInspectionLimitReached(): boolean {
		return this.stallDetector.isInspectionLimitReached;
	}

	/** Milliseconds since the last token or inspection. */
	getIdleTime(now: number): number {
		return this.stallDetector.getIdleTime(now);
	}

	/** Whether the stages must be inspected now. */
	isInspectionDue(now: number, hasTokens: boolean): boolean {
		return !this.isInspecting && this.stallDetector.isInspectionDue(now, hasTokens);
	}

	/** Whether the attempt may still go on although a stage does not respond. */
	mayBeKept(now: number): boolean {
		const isWithinTimeout = now - (this.silentSince ?? now) < keepTimeoutMs;
		return this.isConnectionOpen && isWithinTimeout;
	}

	/** Records that tokens were accepted. */
	recordTokens(now: number): void {
		this.stallDetector.reset(now);
		this.silentSince = undefined;
		this.silent.clear();
		this.isInspecting = false;
	}

	/** Records that servers did not respond to an inspection. The stages are inspected again if no token arrives. */
	recordSilence(servers: ReadonlySet<string>, now: number): void {
		this.silentSince ??= now;
		for (const server of servers) {
			this.silent.add(server);
		}

		this.isInspectingSlowdown = false;
		this.resume(now);
	}

	/** Waits for tokens again, and inspects the stages if none arrive. */
	resume(now: number): void {
		this.isInspecting = false;
		this.stallDetector.restartTimer(now);
	}

	/**
	Diagnoses the result of an inspection.

	@param delivered - number of tokens delivered to the caller
	*/
	diagnose(statuses: ReadonlyArray<StageStatus | undefined>, delivered: number): StallDiagnosis {
		const stallDiagnosis = diagnoseStall(statuses, this.previousStatuses, delivered);
		this.previousStatuses = statuses;
		this.stallDetector.recordInspection(stallDiagnosis.isOnLink);
		return stallDiagnosis;
	}

	/** Servers of the stages at the positions in the route. */
	getServers(stages: readonly number[]): ReadonlySet<string> {
		return new Set(stages.map(index => this.route[index].server));
	}

	/** Moves the attempt to a new connection, which sends the tokens from an index on. */
	attach(connection: number, from: number, now: number): StreamCommand {
		this.currentConnection = connection;
		this.isConnectionOpen = true;
		this.resume(now);
		return {
			kind: StreamCommandKind.Attach, attempt: this.number, connection, route: this.route, from,
		};
	}

	createRunCommand(): StreamCommand {
		return {
			kind: StreamCommandKind.Run, attempt: this.number, connection: this.currentConnection, route: this.route,
		};
	}

	createInspectCommand(): StreamCommand {
		return {kind: StreamCommandKind.Inspect, attempt: this.number, route: this.route};
	}

	createCancelCommand(): StreamCommand {
		return {kind: StreamCommandKind.Cancel, attempt: this.number, route: this.route};
	}
}
