import {type TimerHandle} from './timer-handle.js';
import {TimerService} from './timer-service.js';

type ScheduledCall = {
	dueAt: number;
	callback: () => void;
	period?: number;
};

/** Timer service whose time only advances on request; for tests and simulations. */
export class ManualTimerService extends TimerService {
	private readonly scheduledCalls = new Set<ScheduledCall>();

	constructor(private currentTime = 0) {
		super();
	}

	now(): number {
		return this.currentTime;
	}

	wallClock(): number {
		return this.currentTime;
	}

	after(delay: number, callback: () => void): TimerHandle {
		return this.schedule({dueAt: this.currentTime + delay, callback});
	}

	repeat(period: number, callback: () => void): TimerHandle {
		return this.schedule({dueAt: this.currentTime + period, callback, period});
	}

	/** Advances the time by a number of milliseconds and makes the calls that fall due, in order. */
	advance(duration: number): void {
		const end = this.currentTime + duration;
		for (let call = this.findNextDue(end); call; call = this.findNextDue(end)) {
			this.currentTime = Math.max(this.currentTime, call.dueAt);
			if (call.period === undefined) {
				this.scheduledCalls.delete(call);
			} else {
				call.dueAt += call.period;
			}

			call.callback();
		}

		this.currentTime = end;
	}

	private findNextDue(end: number): ScheduledCall | undefined {
		let earliest: ScheduledCall | undefined;
		for (const call of this.scheduledCalls) {
			if (call.dueAt <= end && (!earliest || call.dueAt < earliest.dueAt)) {
				earliest = call;
			}
		}

		return earliest;
	}

	private schedule(call: ScheduledCall): TimerHandle {
		this.scheduledCalls.add(call);
		return {
			cancel: () => {
				this.scheduledCalls.delete(call);
			},
		};
	}
}
