import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {messageOf} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {type CatalogKeeper} from './catalog-keeper.js';
import {type CatalogSource} from './catalog-source.js';

/** The parts of a follower of the catalog. */
export type CatalogFollowerParts = {
	readonly source: CatalogSource;
	readonly keeper: CatalogKeeper;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
};

/** Times of following the catalog, in milliseconds. */
export type CatalogTimes = {
	/** How long one question waits for news. */
	readonly wait: number;
	/** Pause after a failure, so that an outage does not bring a storm of calls. */
	readonly retryPause: number;
};

/** Waits for new catalogs and puts them in force. */
export class CatalogFollower {
	private isStopped = false;
	private isLost = false;
	private heardAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly parts: CatalogFollowerParts, private readonly times: CatalogTimes) {}

	/** Monotonic time at which the source last answered. */
	get lastHeard(): number {
		return this.heardAt;
	}

	/** Begins to follow. */
	start(): void {
		void this.run();
	}

	/** Ends after the question that is under way. */
	stop(): void {
		this.isStopped = true;
	}

	private async run(): Promise<void> {
		while (!this.isStopped) {
			await this.askOnce(); // eslint-disable-line no-await-in-loop
		}
	}

	private async askOnce(): Promise<void> {
		const {source, keeper, timers, metrics, log} = this.parts;
		const askedAt = timers.now();
		try {
			const catalog = await source.next(this.times.wait);
			this.heardAt = askedAt;
			if (this.isLost) {
				this.isLost = false;
				log.write('dependency.regained', {dependency: 'configuration', version: keeper.version});
			}

			if (catalog) {
				keeper.take(catalog, 'store');
			}
		} catch (error) {
			metrics.count('siskinnotch_catalog_failures');
			if (!this.isLost) {
				this.isLost = true;
				log.warn('dependency.lost', {dependency: 'configuration', reason: messageOf(error), version: keeper.version});
			}

			await timers.sleep(this.times.retryPause);
		}
	}
}
