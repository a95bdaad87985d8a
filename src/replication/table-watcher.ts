import {type DecisionLog} from '../observation/decision-log.js';
import {DependencyMonitor} from '../observation/dependency-monitor.js';
import {type Metrics} from '../observation/metrics.js';
import {type TimerService} from '../time/timer-service.js';
import {UpdateResult} from './replicated-table.js';
import {isLargeRow} from './row-history.js';
import {type TableFeed} from './table-feed.js';
import {type TableName} from './table-name.js';
import {type TablePosition} from './table-position.js';
import {type TableSet} from './table-set.js';
import {type TableUpdate} from './table-update.js';

export type TableWatcherDependencies = {
	readonly feed: TableFeed;
	readonly tables: TableSet;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
	/** Whether this instance is to read the table itself; otherwise it relies on updates of other instances. */
	readonly mayRead: () => boolean;
	/** Called after each update from the store that changed rows, with the position of the copy before it. */
	readonly onChange: (previous: TablePosition | undefined) => void;
};

/** Timings of a watcher, in milliseconds. */
export type TableWatcherTimings = {
	/** How long one call waits for a change. */
	readonly wait: number;
	/** Pause after a call, so that several changes in quick succession are read together. */
	readonly pauseAfterCall: number;
	/** Pause after a failure, so that an outage does not cause a retry storm. */
	readonly retryPause: number;
	/** An answer that exceeds the wait by more than this counts as an outage. */
	readonly slowThreshold: number;
	/** Interval between checks whether this instance is to read the table. */
	readonly idleInterval: number;
};

/** Copies a table of the store into this instance's set, with one call at a time. */
export class TableWatcher {
	private lastOutageAt = Number.NEGATIVE_INFINITY;
	private readonly dependencyMonitor: DependencyMonitor;

	constructor(private readonly name: TableName, private readonly dependencies: TableWatcherDependencies, private readonly timings: TableWatcherTimings) {
		this.dependencyMonitor = new DependencyMonitor(`table ${name}`, dependencies.log);
	}

	/** Starts watching; runs until the process ends. */
	start(): void {
		void this.run();
	}

	private async run(): Promise<void> {
		for (;;) {
			await this.dependencies.timers.sleep(await this.step()); // eslint-disable-line no-await-in-loop
		}
	}

	/** Reads once if this instance is to read the table; returns the pause that follows. */
	private async step(): Promise<number> {
		const {mayRead} = this.dependencies;
		const {idleInterval, pauseAfterCall, retryPause} = this.timings;
		if (!mayRead()) {
			return idleInterval;
		}

		return await this.readOnce() ? pauseAfterCall : retryPause;
	}

	private async readOnce(): Promise<boolean> {
		const {timers, metrics} = this.dependencies;
		const requestedAt = timers.now();
		metrics.count('siskinnotch_table_reads', 1, {table: this.name});
		try {
			this.apply(await this.fetchUpdate(), requestedAt);
			return true;
		} catch (error) {
			this.lastOutageAt = timers.now();
			metrics.count('siskinnotch_table_failures', 1, {table: this.name});
			this.dependencyMonitor.recordFailure(error);
			return false;
		}
	}

	private async fetchUpdate(): Promise<TableUpdate> {
		const {feed, tables} = this.dependencies;
		const {position} = tables.get(this.name);
		const changes = position && await feed.follow(position, this.timings.wait);
		return changes ?? feed.read();
	}

	private apply(update: TableUpdate, requestedAt: number): void {
		const {tables, timers, metrics, onChange} = this.dependencies;
		const {wait, slowThreshold} = this.timings;
		const now = timers.now();
		const previous = tables.get(this.name).position;
		const isHistoryReplaced = previous !== undefined && update.position.era > previous.era;
		if (now - requestedAt > wait + slowThreshold || isHistoryReplaced) {
			this.lastOutageAt = now;
		}

		this.dependencyMonitor.recordSuccess({afterMs: Math.round(now - this.lastOutageAt)});
		metrics.record('siskinnotch_table_answer_ms', now - requestedAt);
		// A short answer that came in time was sent at most slowThreshold ago, even if its call began much earlier. The transfer of a large row may have taken long.
		const confirmedAt = update.rows.some(row => isLargeRow(row)) ? requestedAt : Math.max(requestedAt, now - slowThreshold);
		const result = tables.apply(this.name, update, {from: 'store', confirmedAt, outageAt: this.lastOutageAt});
		if (result === UpdateResult.Changed) {
			onChange(previous);
		}
	}
}
