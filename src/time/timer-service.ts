import {afterInput} from './deferred-call.js';
import {type ProgressTimeouts} from './progress-timeouts.js';
import {type TimerHandle} from './timer-handle.js';

/** The only source of time: no other code reads a clock or sets a timer, so that tests can control time. */
export abstract class TimerService {
	/** Resolves after a delay in milliseconds. */
	async sleep(delay: number): Promise<void> {
		return new Promise(resolve => {
			this.after(delay, resolve);
		});
	}

	/**
	Settles as the work does, or rejects after a timeout.

	@param work - promise to wait for
	@param timeout - milliseconds
	@param createError - creates the error of a timeout
	*/
	async withTimeout<Value>(work: Promise<Value>, timeout: number, createError: () => Error): Promise<Value> {
		return new Promise<Value>((resolve, reject) => {
			const timer = this.after(timeout, () => {
				reject(createError());
			});
			void (async () => {
				try {
					resolve(await work);
				} catch (error) {
					reject(error instanceof Error ? error : new Error(String(error)));
				} finally {
					timer.cancel();
				}
			})();
		});
	}

	/**
	Runs work with a signal that is aborted after a timeout.

	@param timeout - milliseconds
	*/
	async runWithTimeout<Value>(timeout: number, work: (signal: AbortSignal) => Promise<Value>): Promise<Value> {
		const controller = new AbortController();
		const timer = this.after(timeout, () => {
			controller.abort();
		});
		try {
			return await work(controller.signal);
		} finally {
			timer.cancel();
		}
	}

	/**
	Runs work with a signal that is aborted when the work makes no progress for too long, or takes too long altogether.

	@param work - calls `recordProgress` each time that a part of it is done
	*/
	async runWhileProgressing<Value>({start, pause, total}: ProgressTimeouts, work: (signal: AbortSignal, recordProgress: () => void) => Promise<Value>): Promise<Value> {
		const controller = new AbortController();
		const abort = () => {
			controller.abort();
		};

		const totalTimer = this.after(total, abort);
		let progressTimer = this.after(start, abort);
		const recordProgress = () => {
			progressTimer.cancel();
			progressTimer = this.after(pause, abort);
		};

		try {
			return await work(controller.signal, recordProgress);
		} finally {
			progressTimer.cancel();
			totalTimer.cancel();
		}
	}

	/** Resolves once the process has handled the input that had already arrived, such as the end of a connection. */
	async handleInput(): Promise<void> {
		return new Promise(resolve => {
			afterInput(resolve);
		});
	}

	/** Monotonic time in milliseconds from an arbitrary origin. */
	abstract now(): number;

	/** Wall-clock time in milliseconds since the Unix epoch, for records that people read. Safety must never depend on it. */
	abstract wallClock(): number;

	/**
	Schedules a single call.

	@param delay - milliseconds
	@returns a handle to cancel the call
	*/
	abstract after(delay: number, callback: () => void): TimerHandle;

	/**
	Schedules periodic calls.

	@param period - milliseconds between calls
	@returns a handle to stop the calls
	*/
	abstract repeat(period: number, callback: () => void): TimerHandle;
}
