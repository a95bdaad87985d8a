import {performance} from 'node:perf_hooks';
import {type Subscription} from './subscription.js';
import {TimerService} from './timer-service.js';

/** The timer service of a running process. */
export class ClockTimerService extends TimerService {
	now(): number {
		return performance.now();
	}

	wallClock(): number {
		return Date.now();
	}

	after(delay: number, callback: () => void): Subscription {
		const timer = setTimeout(callback, delay);
		return {
			cancel() {
				clearTimeout(timer);
			},
		};
	}

	repeat(period: number, callback: () => void): Subscription {
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
