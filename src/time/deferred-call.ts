/** Turns of the event loop after which input that had arrived is handled: one reads the data of a connection, the next its end. */
const inputTurns = 2;

/** Calls back once the process has handled the input that had arrived. */
export function afterInput(callback: () => void, turns = inputTurns): void {
	if (turns === 0) {
		callback();
		return;
	}

	setImmediate(() => {
		afterInput(callback, turns - 1);
	});
}

/** A call of a timer that can be deferred until the input that has arrived is handled. */
export class DeferredCall {
	private isCancelled = false;
	private isDeferred = false;

	constructor(private readonly callback: () => void) {}

	/** Calls back now, unless cancelled or already deferred. */
	make(): void {
		if (!this.isCancelled && !this.isDeferred) {
			this.callback();
		}
	}

	/** Calls back after the input, unless cancelled until then. Has no effect while the call is deferred already. */
	defer(): void {
		if (this.isDeferred) {
			return;
		}

		this.isDeferred = true;
		afterInput(() => {
			this.isDeferred = false;
			this.make();
		});
	}

	/** Prevents all later calls. */
	cancel(): void {
		this.isCancelled = true;
	}
}
