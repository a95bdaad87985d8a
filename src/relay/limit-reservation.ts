import {type Backpressure} from '../backpressure/backpressure.js';
import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';
import {type DelayedServer} from '../pipelines/plain-server-selector.js';
import {type ServerDirectory} from '../pipelines/server-directory.js';
import {type ServerHealthTracker} from '../pipelines/server-health-tracker.js';
import {type TimerHandle} from '../time/timer-handle.js';
import {type TimerService} from '../time/timer-service.js';

export type LimitReservationDependencies = {
	readonly backpressure: Backpressure;
	readonly directory: ServerDirectory;
	readonly serverHealth: ServerHealthTracker;
	readonly timers: TimerService;
};

/** Reserves the next request that the limit of a server allows, for one exchange at a time. */
export class LimitReservation {
	private timer?: TimerHandle;

	constructor(private readonly dependencies: LimitReservationDependencies) {}

	/**
	Reserves a request to the server and waits for it.

	@param onDue - called when the request may be sent; `isUsable` tells whether the server may still be used then
	*/
	begin({server, delay}: DelayedServer, onDue: (isUsable: boolean) => void): void {
		const {backpressure, timers} = this.dependencies;
		backpressure.limits.recordRequest(server, timers.now());
		this.timer = timers.after(delay, () => {
			this.timer = undefined;
			onDue(this.isUsable(server));
		});
	}

	/** Stops waiting. The reserved request is not given back. */
	cancel(): void {
		this.timer?.cancel();
		this.timer = undefined;
	}

	private isUsable(server: BackendServer): boolean {
		const {directory, backpressure, serverHealth, timers} = this.dependencies;
		const now = timers.now();
		const isListed = directory.usable(server.service).some(listed => getIncarnationId(listed) === getIncarnationId(server));
		return isListed && !backpressure.pauses.isPaused(server, now) && !serverHealth.isSuspected(server, now);
	}
}
