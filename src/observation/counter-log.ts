import {type TimerService} from '../time/timer-service.js';
import {type DecisionLog} from './decision-log.js';
import {type Metrics} from './metrics.js';

/** Writes at intervals by how much counters have grown, so that a log alone tells what an instance spent its time on. */
export class CounterLog {
	private readonly logged = new Map<string, number>();

	/**
	@param names - the counters, whatever their labels
	*/
	constructor(private readonly names: ReadonlySet<string>, private readonly metrics: Metrics, private readonly log: DecisionLog) {}

	/**
	Starts writing.

	@param interval - milliseconds
	*/
	start(timers: TimerService, interval: number): void {
		timers.repeat(interval, () => {
			this.write();
		});
	}

	private write(): void {
		const gains: Record<string, number> = {};
		for (const [series, count] of this.metrics.getCounts(this.names)) {
			const gain = count - (this.logged.get(series) ?? 0);
			this.logged.set(series, count);
			if (gain > 0) {
				gains[series] = gain;
			}
		}

		if (Object.keys(gains).length > 0) {
			this.log.write('counters.grown', gains);
		}
	}
}
