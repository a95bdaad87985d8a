import {type DecisionLog} from '../observation/decision-log.js';
import {DependencyMonitor} from '../observation/dependency-monitor.js';
import {type Metrics} from '../observation/metrics.js';
import {type TimerService} from '../time/timer-service.js';
import {UpdateResult} from './replicated-table.js';
import {isLargeRow} from './row-history.js';
import {type StoreAccess, type StoreCall} from './store-access.js';
import {type TableFeed} from './table-feed.js';
import {type TableName} from './table-name.js';
import {type TablePosition} from './table-position.js';
import {type TableSet} from './table-set.js';
import {type TableUpdate} from './table-update.js';

export type TableWatcherDependencies = {
	readonly feed: TableFeed;
	readonly tables: TableSet;
	/** Whether the store refuses this instance. */
	readonly access: StoreAccess;
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
	/** An answer that exceeds the wait by more than this counts as an outage. */
	readonly slowThreshold: number;
	/** Interval between checks whether this instance is to read the table, and whether the store may be called. */
	readonly idleInterval: number;
};

/** Copies a table of the store into this instance's set, with one call at a time. */
export class TableWatcher {
	private lastOutageAt = Number.NEGATIVE_INFINITY;
	/** Failures in a row of calls that were made because the store answered others. The cause may lie in this table alone. */
	private ownFailures = 0;
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
		const {mayRead, access, timers} = this.dependencies;
		const {idleInterval, pauseAfterCall} = this.timings;
		const call = mayRead() ? access.begin(timers.now()) : undefined;
		if (!call) {
			return idleInterval;
		}

		if (await this.readOnce(call)) {
			this.ownFailures = 0;
			return pauseAfterCall;
		}

		this.ownFailures += call.isProbe ? 0 : 1;
		return this.ownFailures > 1 ? Math.max(idleInterval, access.computePause(this.ownFailures - 1)) : idleInterval;
	}

	private async readOnce(call: StoreCall): Promise<boolean> {
		const {access, timers, metrics} = this.dependencies;
		metrics.count('siskinnotch_table_reads', 1, {table: this.name});
		try {
			// The answer to a probe comes at once, so that the other tables need not wait for a change of this one.
			const wait = call.isProbe ? 0 : this.timings.wait;
			const update = await this.fetchUpdate(wait);
			access.recordAnswer(call, timers.now());
			this.apply(update, {requestedAt: call.startedAt, wait});
			return true;
		} catch (error) {
			this.lastOutageAt = timers.now();
			access.recordFailure(call, this.lastOutageAt);
			metrics.count('siskinnotch_table_failures', 1, {table: this.name});
			this.dependencyMonitor.recordFailure(error);
			return false;
		}
	}

	private async fetchUpdate(wait: number): Promise<TableUpdate> {
		const {feed, tables} = this.dependencies;
		const {position} = tables.get(this.name);
		const changes = position && await feed.follow(position, wait);
		return changes ?? feed.read();
	}

	private apply(update: TableUpdate, {requestedAt, wait}: {readonly requestedAt: number; readonly wait: number}): void {
		const {tables, timers, metrics, onChange} = this.dependencies;
		const {slowThreshold} = this.timings;
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
