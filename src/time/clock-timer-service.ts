import {performance} from 'node:perf_hooks';
import {type TimerHandle} from './timer-handle.js';
import {TimerService} from './timer-service.js';

/** The timer service of a running process. */
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
		// Periodic work alone does not keep a process alive.
		timer.unref();
		return {
			cancel() {
				clearInterval(timer);
			},
		};
	}
}
