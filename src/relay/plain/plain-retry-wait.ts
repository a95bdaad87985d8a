import {type TimerHandle} from '../../time/timer-handle.js';
import {type TimerService} from '../../time/timer-service.js';

/** Interval between attempts to take a retry. */
const checkIntervalMs = 25;
/** Longest time in milliseconds for which a plain request waits for a retry. */
export const maxRetryWaitMs = 250;

/** Lets a plain request wait for a retry that another instance may lend. */
export class PlainRetryWait {
	private timer?: TimerHandle;

	constructor(private readonly timers: TimerService) {}

	/**
	Starts to wait.

	@param tryAcquire - takes a retry; returns false if there is none
	@param onEnd - called once, with whether a retry was taken, unless the wait is cancelled
	*/
	begin(tryAcquire: () => boolean, onEnd: (isAcquired: boolean) => void): void {
		const endsAt = this.timers.now() + maxRetryWaitMs;
		this.timer = this.timers.repeat(checkIntervalMs, () => {
			const isAcquired = tryAcquire();
			if (isAcquired || this.timers.now() >= endsAt) {
				this.cancel();
				onEnd(isAcquired);
			}
		});
	}

	/** Ends the wait. */
	cancel(): void {
		this.timer?.cancel();
	}
}
