import {type DecisionLog} from '../observation/decision-log.js';
import {DependencyMonitor} from '../observation/dependency-monitor.js';
import {type Metrics} from '../observation/metrics.js';
import {type TimerService} from '../time/timer-service.js';
import {type ActiveCatalog} from './active-catalog.js';
import {type CatalogSource} from './catalog-source.js';

/** The parts of a follower of the catalog. */
export type CatalogWatcherDependencies = {
	readonly source: CatalogSource;
	readonly activeCatalog: ActiveCatalog;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
};

/** Times of following the catalog, in milliseconds. */
export type CatalogWatcherTimings = {
	/** How long one question waits for news. */
	readonly longPollTimeout: number;
	/** Pause after a failure, so that an outage does not bring a storm of calls. */
	readonly retryDelay: number;
};

/** Waits for new catalogs and puts them in force. */
export class CatalogWatcher {
	private readonly dependency: DependencyMonitor;

	constructor(private readonly parts: CatalogWatcherDependencies, private readonly times: CatalogWatcherTimings) {
		this.dependency = new DependencyMonitor('configuration', parts.log);
	}

	/** Begins to follow. */
	start(): void {
		void this.run();
	}

	private async run(): Promise<void> {
		for (;;) {
			await this.askOnce(); // eslint-disable-line no-await-in-loop
		}
	}

	private async askOnce(): Promise<void> {
		const {source, activeCatalog: keeper, timers, metrics} = this.parts;
		try {
			const catalog = await source.waitForNext(this.times.longPollTimeout);
			this.dependency.recordSuccess({version: keeper.version});
			if (catalog) {
				keeper.apply(catalog, 'store');
			}
		} catch (error) {
			metrics.count('siskinnotch_catalog_failures');
			this.dependency.recordFailure(error, {version: keeper.version});
			await timers.sleep(this.times.retryDelay);
		}
	}
}
