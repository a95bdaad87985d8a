import {performance} from 'node:perf_hooks';
import {type TimerHandle} from './timer-handle.js';
import {TimerService} from './timer-service.js';

/** Timer service that uses the clocks and timers of the process. */
export class ClockTimerService extends TimerService {
	now(): number {
		return performance.now();
	}

	wallClock(): number {
		return Date.now();
	}

	after(delay: number, callback: () => void): TimerHandle {
		const timer = setTimeout(callback, delay);
		return {
			cancel() {
				clearTimeout(timer);
			},
		};
	}

	repeat(period: number, callback: () => void): TimerHandle {
		const timer = setInterval(callback, period);
		// Periodic work alone must not keep the process alive.
		timer.unref();
		return {
			cancel() {
				clearInterval(timer);
			},
		};
	}
}
