/** Tracks the phases of a process: serving, draining (a shutdown was requested, requests are still accepted) and refusing new requests. */
export class Lifecycle {
	private isStopRequested = false;
	private areRequestsRefused = false;
	private readonly listeners = new Set<() => void>();

	/** Whether a graceful shutdown has been requested. */
	get isDraining(): boolean {
		return this.isStopRequested;
	}

	/** Whether new requests are refused because too little time is left to complete them. */
	get isRefusing(): boolean {
		return this.areRequestsRefused;
	}

	/** Starts refusing new requests. */
	refuseRequests(): void {
		this.areRequestsRefused = true;
	}

	/** Starts a graceful shutdown. Further calls have no effect. */
	requestStop(): void {
		if (this.isStopRequested) {
			return;
		}

		this.isStopRequested = true;
		for (const listener of this.listeners) {
			listener();
		}
	}

	/** Registers a listener that is called when a graceful shutdown starts. */
	onStop(listener: () => void): void {
		this.listeners.add(listener);
	}
}
