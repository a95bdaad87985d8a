import {type DecisionLog} from '../observation/decision-log.js';
import {DependencyMonitor} from '../observation/dependency-monitor.js';
import {type Metrics} from '../observation/metrics.js';
import {type TimerService} from '../time/timer-service.js';
import {type ActiveCatalog} from './active-catalog.js';
import {type CatalogSource} from './catalog-source.js';

/** Dependencies of a catalog watcher. */
export type CatalogWatcherDependencies = {
	readonly source: CatalogSource;
	readonly activeCatalog: ActiveCatalog;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
};

/** Timings of a catalog watcher, in milliseconds. */
export type CatalogWatcherTimings = {
	/** How long one poll waits for a new catalog. */
	readonly longPollTimeout: number;
	/** Delay after a failed poll, so that an outage does not cause a burst of calls. */
	readonly retryDelay: number;
};

/** Long-polls the source for new catalogs and activates them. */
export class CatalogWatcher {
	private readonly dependencyMonitor: DependencyMonitor;

	constructor(private readonly dependencies: CatalogWatcherDependencies, private readonly timings: CatalogWatcherTimings) {
		this.dependencyMonitor = new DependencyMonitor('configuration', dependencies.log);
	}

	/** Starts watching. */
	start(): void {
		void this.run();
	}

	private async run(): Promise<void> {
		for (;;) {
			await this.poll(); // eslint-disable-line no-await-in-loop
		}
	}

	private async poll(): Promise<void> {
		const {source, activeCatalog, timers, metrics} = this.dependencies;
		try {
			const catalog = await source.waitForNext(this.timings.longPollTimeout);
			this.dependencyMonitor.recordSuccess({version: activeCatalog.version});
			if (catalog) {
				activeCatalog.apply(catalog, 'store');
			}
		} catch (error) {
			metrics.count('siskinnotch_catalog_failures');
			this.dependencyMonitor.recordFailure(error, {version: activeCatalog.version});
			await timers.sleep(this.timings.retryDelay);
		}
	}
}
