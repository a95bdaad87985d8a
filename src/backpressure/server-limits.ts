import {type DecisionLog} from '../observation/decision-log.js';
import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';

/** What a response says about the request rate that its backend server accepts. */
export type LimitObservation = {
	/** Requests per second that the server accepts from all instances together; undefined if the response names no limit. */
	readonly perSecond?: number;
	/** Monotonic time in milliseconds at which the request was sent. */
	readonly sentAt: number;
};

type NamedLimit = {
	readonly perSecond?: number;
	/** Monotonic time in milliseconds at which the server last said so. */
	readonly statedAt: number;
};

/** Holds the request rates to which backend servers limit all instances together. */
export class ServerLimits {
	/** By incarnation id. */
	private readonly limits = new Map<string, NamedLimit>();

	constructor(private readonly log: DecisionLog) {}

	/** Number of servers that currently name a limit. */
	get size(): number {
		return [...this.limits.values()].filter(({perSecond}) => perSecond !== undefined).length;
	}

	/** Records what a response says. A response that names no limit lifts it, unless its request was sent before the server last named one. */
	observe(server: BackendServer, {perSecond, sentAt}: LimitObservation, now: number): void {
		const incarnationId = getIncarnationId(server);
		const known = this.limits.get(incarnationId);
		if (perSecond === undefined && (known?.perSecond === undefined || sentAt < known.statedAt)) {
			return;
		}

		this.limits.set(incarnationId, {perSecond, statedAt: now});
		if (perSecond !== known?.perSecond) {
			this.log.write('server.limited', {server: server.id, perSecond, previous: known?.perSecond});
		}
	}

	/** Removes the limits of incarnations that are no longer listed. */
	retain(servers: Iterable<BackendServer>): void {
		const listed = new Set([...servers].map(server => getIncarnationId(server)));
		for (const incarnationId of this.limits.keys()) {
			if (!listed.has(incarnationId)) {
				this.limits.delete(incarnationId);
			}
		}
	}
}
