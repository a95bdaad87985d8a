import {type TimerHandle} from './timer-handle.js';
import {TimerService} from './timer-service.js';

type Entry = {
	due: number;
	callback: () => void;
	period?: number;
};

/** A timer service whose time moves only when told to; for tests and embedding in simulations. */
export class ManualTimerService extends TimerService {
	private readonly entries = new Set<Entry>();

	constructor(private time = 0) {
		super();
	}

	now(): number {
		return this.time;
	}

	wallClock(): number {
		return this.time;
	}

	after(delay: number, callback: () => void): TimerHandle {
		return this.subscribe({due: this.time + delay, callback});
	}

	repeat(period: number, callback: () => void): TimerHandle {
		return this.subscribe({due: this.time + period, callback, period});
	}

	/** Moves time forward by milliseconds and calls what falls due, in order. */
	advance(duration: number): void {
		const end = this.time + duration;
		for (let entry = this.nextDue(end); entry; entry = this.nextDue(end)) {
			this.time = Math.max(this.time, entry.due);
			if (entry.period === undefined) {
				this.entries.delete(entry);
			} else {
				entry.due += entry.period;
			}

			entry.callback();
		}

		this.time = end;
	}

	private nextDue(end: number): Entry | undefined {
		let first: Entry | undefined;
		for (const entry of this.entries) {
			if (entry.due <= end && (!first || entry.due < first.due)) {
				first = entry;
			}
		}

		return first;
	}

	private subscribe(entry: Entry): TimerHandle {
		this.entries.add(entry);
		return {
			cancel: () => {
				this.entries.delete(entry);
			},
		};
	}
}
