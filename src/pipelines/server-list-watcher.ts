import {type DecisionLog} from '../observation/decision-log.js';
import {DependencyMonitor} from '../observation/dependency-monitor.js';
import {type Metrics} from '../observation/metrics.js';
import {type TimerService} from '../time/timer-service.js';
import {type BackendServer} from './backend-server.js';
import {type ServerDirectory} from './server-directory.js';
import {type ServerList} from './server-list.js';

export type ServerListWatcherDependencies = {
	readonly list: ServerList;
	readonly directory: ServerDirectory;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
	/** Called after each reading is applied. */
	readonly onRead: () => void;
};

/** Timings of the watcher, in milliseconds. */
export type ServerListTimings = {
	/** How long one call waits for a change. */
	readonly wait: number;
	/** Pause after a reading, so that several changes in quick succession are read together. */
	readonly pauseAfterChange: number;
	/** Pause after a failure, so that an outage does not cause a retry storm. */
	readonly retryPause: number;
	/** How long after an outage entries may be missing although their servers are running. */
	readonly recoveryGrace: number;
	/** An answer that exceeds the wait by more than this counts as an outage. */
	readonly slowThreshold: number;
};

/** Applies the changes of the server list to the directory, with one call at a time. */
export class ServerListWatcher {
	private lastOutageAt = Number.NEGATIVE_INFINITY;
	private readonly dependencyMonitor: DependencyMonitor;

	constructor(private readonly dependencies: ServerListWatcherDependencies, private readonly timings: ServerListTimings) {
		this.dependencyMonitor = new DependencyMonitor('server list', dependencies.log);
	}

	/** Starts watching; runs until the process ends. */
	start(): void {
		void this.run();
	}

	private async run(): Promise<void> {
		for (;;) {
			const isRead = await this.readOnce(); // eslint-disable-line no-await-in-loop
			await this.dependencies.timers.sleep(isRead ? this.timings.pauseAfterChange : this.timings.retryPause); // eslint-disable-line no-await-in-loop
		}
	}

	private async readOnce(): Promise<boolean> {
		const {list, timers} = this.dependencies;
		const requestedAt = timers.now();
		try {
			this.apply(await list.next(this.timings.wait), requestedAt);
			return true;
		} catch (error) {
			this.recordFailure(error);
			return false;
		}
	}

	private apply(servers: readonly BackendServer[], requestedAt: number): void {
		const {directory, timers, metrics, onRead} = this.dependencies;
		const {wait, slowThreshold, recoveryGrace} = this.timings;
		const now = timers.now();
		if (now - requestedAt > wait + slowThreshold) {
			this.lastOutageAt = now;
		}

		this.dependencyMonitor.recordSuccess({afterMs: Math.round(now - this.lastOutageAt)});
		// An answer that came in time was sent at most slowThreshold ago, even if its call began much earlier.
		directory.applyReading({servers, requestedAt: Math.max(requestedAt, now - slowThreshold), mayBeIncomplete: now - this.lastOutageAt < recoveryGrace});
		metrics.record('siskinnotch_list_answer_ms', now - requestedAt);
		onRead();
	}

	private recordFailure(error: unknown): void {
		const {timers, metrics} = this.dependencies;
		this.lastOutageAt = timers.now();
		metrics.count('siskinnotch_list_failures');
		this.dependencyMonitor.recordFailure(error);
	}
}
