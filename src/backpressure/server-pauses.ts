import {type DecisionLog} from '../observation/decision-log.js';
import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';

/** Holds the pauses that backend servers ask this instance for. */
export class ServerPauses {
	/** Monotonic times until which servers want no requests of this instance, by incarnation. */
	private readonly pausedUntil = new Map<string, number>();

	/**
	@param maxPause - longest pause that a server may ask for, in milliseconds
	*/
	constructor(private readonly maxPause: number, private readonly log: DecisionLog) {}

	/**
	Records that a server wants no requests of this instance for a while. Success of an earlier request does not end the pause.

	@param duration - milliseconds; a longer one than the limit is cut off there
	*/
	pause(server: BackendServer, duration: number, now: number): void {
		const forMs = Math.min(duration, this.maxPause);
		this.pausedUntil.set(getIncarnationId(server), Math.max(now + forMs, this.pausedUntil.get(getIncarnationId(server)) ?? 0));
		this.log.write('server.paused', {server: server.id, forMs, askedMs: duration});
	}

	/** Whether the server asked this instance for a pause that is not over. */
	isPaused(server: BackendServer, now: number): boolean {
		return (this.pausedUntil.get(getIncarnationId(server)) ?? 0) > now;
	}

	/** Removes the pauses of incarnations that are no longer listed. */
	retain(servers: Iterable<BackendServer>): void {
		const listed = new Set([...servers].map(server => getIncarnationId(server)));
		for (const incarnationId of this.pausedUntil.keys()) {
			if (!listed.has(incarnationId)) {
				this.pausedUntil.delete(incarnationId);
			}
		}
	}
}
