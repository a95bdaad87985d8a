import {type TimerService} from '../time/timer-service.js';
import {type Fanout} from './partner-selector.js';

/** Collects news for a moment before it is passed on, so that news which arrives together is sent together. */
export class SpreadScheduler {
	private scheduled?: Fanout;

	/**
	@param delay - milliseconds for which news is collected
	@param spread - passes on all news to as many instances
	*/
	constructor(private readonly timers: TimerService, private readonly delay: number, private readonly spread: (fanout: Fanout) => void) {}

	/** Passes on news soon, to at least as many instances as given. */
	schedule(fanout: Fanout): void {
		if (this.scheduled) {
			this.scheduled = {near: Math.max(fanout.near, this.scheduled.near), far: Math.max(fanout.far, this.scheduled.far)};
			return;
		}

		this.scheduled = fanout;
		this.timers.after(this.delay, () => {
			const scheduled = this.scheduled!;
			this.scheduled = undefined;
			this.spread(scheduled);
		});
	}
}
