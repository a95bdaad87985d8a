/** Phases of a process: it serves, gives notice that it will stop, and stops. */
export class Lifecycle {
	private isStopRequested = false;
	private areRequestsRefused = false;
	private readonly listeners = new Set<() => void>();

	/** Whether a planned stop has begun. */
	get isDraining(): boolean {
		return this.isStopRequested;
	}

	/** Whether new requests are refused, since too little time is left for them. */
	get isRefusing(): boolean {
		return this.areRequestsRefused;
	}

	/** Begins to refuse new requests. */
	refuseRequests(): void {
		this.areRequestsRefused = true;
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
