import {type TimerHandle} from './timer-handle.js';

/** The one source of time. Parts subscribe to it; nothing else reads a clock or sets a timer. */
export abstract class TimerService {
	/** Resolves after a delay in milliseconds. */
	async sleep(delay: number): Promise<void> {
		return new Promise(resolve => {
			this.after(delay, resolve);
		});
	}

	/**
	Settles as the work does, or rejects when the time is over.

	@param work - the promise to wait for
	@param limit - milliseconds
	@param failure - makes the error of a timeout
	*/
	async withTimeout<Value>(work: Promise<Value>, limit: number, failure: () => Error): Promise<Value> {
		return new Promise<Value>((resolve, reject) => {
			const timeout = this.after(limit, () => {
				reject(failure());
			});
			void (async () => {
				try {
					resolve(await work);
				} catch (error) {
					reject(error instanceof Error ? error : new Error(String(error)));
				} finally {
					timeout.cancel();
				}
			})();
		});
	}

	/**
	Runs work whose signal is aborted when the time is over.

	@param limit - milliseconds
	*/
	async runWithTimeout<Value>(limit: number, work: (signal: AbortSignal) => Promise<Value>): Promise<Value> {
		const cancellation = new AbortController();
		const timeout = this.after(limit, () => {
			cancellation.abort();
		});
		try {
			return await work(cancellation.signal);
		} finally {
			timeout.cancel();
		}
	}

	/** Monotonic time in milliseconds from an arbitrary origin. */
	abstract now(): number;

	/** Wall-clock time in milliseconds since 1970, for records that people read. Never used for safety. */
	abstract wallClock(): number;

	/**
	Calls once after a delay.

	@param delay - milliseconds
	@param callback - what to call
	@returns a subscription that cancels the call
	*/
	abstract after(delay: number, callback: () => void): TimerHandle;

	/**
	Calls again and again.

	@param period - milliseconds between calls
	@param callback - what to call
	@returns a subscription that ends the calls
	*/
	abstract repeat(period: number, callback: () => void): TimerHandle;
}
