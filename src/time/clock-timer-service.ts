import {performance} from 'node:perf_hooks';
import {DeferredCall} from './deferred-call.js';
import {type TimerHandle} from './timer-handle.js';
import {TimerService} from './timer-service.js';

/** Lateness of a call from which input may have arrived that the process has not read yet, in milliseconds. */
const stallThresholdMs = 20;

/**
Timer service that uses the clocks and timers of the process.

The runtime makes calls that fell due before it reads input. After a stall, that would take responses that have arrived for missing, and callers that have left for waiting. So calls that are late are made after the input that has arrived.
*/
export class ClockTimerService extends TimerService {
	now(): number {
		return performance.now();
	}

	wallClock(): number {
		return Date.now();
	}

	after(delay: number, callback: () => void): TimerHandle {
		const call = new DeferredCall(callback);
		const dueAt = this.now() + delay;
		const timer = setTimeout(() => {
			this.makeCall(call, dueAt);
		}, delay);
		return {
			cancel() {
				clearTimeout(timer);
				call.cancel();
			},
		};
	}

	repeat(period: number, callback: () => void): TimerHandle {
		const call = new DeferredCall(callback);
		let dueAt = this.now() + period;
		const timer = setInterval(() => {
			const wasDueAt = dueAt;
			dueAt = this.now() + period;
			this.makeCall(call, wasDueAt);
		}, period);
		// Periodic work alone must not keep the process alive.
		timer.unref();
		return {
			cancel() {
				clearInterval(timer);
				call.cancel();
			},
		};
	}

	private makeCall(call: DeferredCall, dueAt: number): void {
		if (this.now() - dueAt < stallThresholdMs) {
			call.make();
		} else {
			call.defer();
		}
	}
}
