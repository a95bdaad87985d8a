import {type DecisionLog} from '../observation/decision-log.js';
import {DependencyMonitor} from '../observation/dependency-monitor.js';
import {type Metrics} from '../observation/metrics.js';
import {type TimerService} from '../time/timer-service.js';
import {type BackendServer} from './backend-server.js';
import {type ServerDirectory} from './server-directory.js';
import {type ServerList} from './server-list.js';

/** The parts of a follower of the list. */
export type ServerListWatcherDependencies = {
	readonly list: ServerList;
	readonly directory: ServerDirectory;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
	/** Called after each reading. */
	readonly onRead: () => void;
};

/** Times of following the list, in milliseconds. */
export type ServerListTimings = {
	/** How long one question waits for a change. */
	readonly wait: number;
	/** Pause after a change, so that several that come together are read together. */
	readonly pauseAfterChange: number;
	/** Pause after a failure, so that an outage does not bring a storm of calls. */
	readonly retryPause: number;
	/** After an outage, how long entries may still be missing though their servers live. */
	readonly recoveryGrace: number;
	/** An answer that comes so much later than it should counts as an outage. */
	readonly slowThreshold: number;
};

/** Follows the list with one question at a time. */
export class ServerListWatcher {
	private troubledAt = Number.NEGATIVE_INFINITY;
	private readonly dependency: DependencyMonitor;

	constructor(private readonly dependencies: ServerListWatcherDependencies, private readonly times: ServerListTimings) {
		this.dependency = new DependencyMonitor('server list', dependencies.log);
	}

	/** Begins to follow. */
	start(): void {
		void this.run();
	}

	private async run(): Promise<void> {
		for (;;) {
			const isRead = await this.askOnce(); // eslint-disable-line no-await-in-loop
			await this.dependencies.timers.sleep(isRead ? this.times.pauseAfterChange : this.times.retryPause); // eslint-disable-line no-await-in-loop
		}
	}

	private async askOnce(): Promise<boolean> {
		const {list, timers} = this.dependencies;
		const askedAt = timers.now();
		try {
			this.take(await list.next(this.times.wait), askedAt);
			return true;
		} catch (error) {
			this.noteFailure(error);
			return false;
		}
	}

	private take(servers: readonly BackendServer[], askedAt: number): void {
		const {directory, timers, metrics, onRead: onReading} = this.dependencies;
		const {wait, slowThreshold: slow, recoveryGrace: returnGrace} = this.times;
		const now = timers.now();
		if (now - askedAt > wait + slow) {
			this.troubledAt = now;
		}

		this.dependency.recordSuccess({afterMs: Math.round(now - this.troubledAt)});
		// An answer in time is as new as the moment at which it was sent.
		directory.applyReading({servers, requestedAt: Math.max(askedAt, now - slow), mayBeIncomplete: now - this.troubledAt < returnGrace});
		metrics.record('siskinnotch_list_answer_ms', now - askedAt);
		onReading();
	}

	private noteFailure(error: unknown): void {
		const {timers, metrics} = this.dependencies;
		this.troubledAt = timers.now();
		metrics.count('siskinnotch_list_failures');
		this.dependency.recordFailure(error);
	}
}
