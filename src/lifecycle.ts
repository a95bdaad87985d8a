/** Phases of a process: it serves, gives notice that it will stop, and stops. */
export class Lifecycle {
	private isStopRequested = false;
	private readonly listeners = new Set<() => void>();

	/** Whether a planned stop has begun. */
	get isDraining(): boolean {
		return this.isStopRequested;
	}

	/** Begins a planned stop; once. */
	requestStop(): void {
		if (this.isStopRequested) {
			return;
		}

		this.isStopRequested = true;
		for (const listener of this.listeners) {
			listener();
		}
	}

	/** Calls the listener when a planned stop begins. */
	onStop(listener: () => void): void {
		this.listeners.add(listener);
	}
}
