import {type TimerHandle} from './timer-handle.js';
import {TimerService} from './timer-service.js';

type ScheduledCall = {
	dueAt: number;
	readonly callback: () => void;
	readonly period?: number;
	isCancelled: boolean;
};

/** Timer service whose time only advances on request; for tests and simulations. */
export class ManualTimerService extends TimerService {
	/** In the order in which the calls are due; calls due at the same time are in the order in which they were scheduled. */
	private readonly queue: ScheduledCall[] = [];

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
		return this.schedule({dueAt: this.currentTime + delay, callback, isCancelled: false});
	}

	repeat(period: number, callback: () => void): TimerHandle {
		return this.schedule({
			dueAt: this.currentTime + period, callback, period, isCancelled: false,
		});
	}

	/** Advances the time by a number of milliseconds and makes the calls that fall due, in order. */
	advance(duration: number): void {
		const end = this.currentTime + duration;
		for (let call = this.takeNextDue(end); call; call = this.takeNextDue(end)) {
			this.currentTime = Math.max(this.currentTime, call.dueAt);
			if (call.period !== undefined) {
				call.dueAt += call.period;
				this.insert(call);
			}

			call.callback();
		}

		this.currentTime = end;
	}

	private takeNextDue(end: number): ScheduledCall | undefined {
		while (this.queue.length > 0 && this.queue[0].dueAt <= end) {
			const call = this.queue.shift()!;
			if (!call.isCancelled) {
				return call;
			}
		}

		return undefined;
	}

	private schedule(call: ScheduledCall): TimerHandle {
		this.insert(call);
		return {
			cancel() {
				call.isCancelled = true;
			},
		};
	}

	/** Inserts a call behind those that are due no later. */
	private insert(call: ScheduledCall): void {
		let low = 0;
		let high = this.queue.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.queue[middle].dueAt <= call.dueAt) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.queue.splice(low, 0, call);
	}
}
