import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';
import {type RandomSource} from '../routing/random-source.js';

/** What limits the starts of this instance in one availability zone. */
export type ZoneRoom = {
	/** Tokens that fit at the scarcest layer until the starts of this window are reported. */
	readonly tokens: number;
	/** Tokens that this instance's requests hold on the usable servers of the first layer, by server. */
	readonly ownTokens: ReadonlyMap<BackendServer, number>;
	/** Number of instances that share the room. */
	readonly instances: number;
	/** Milliseconds until others know of a start. */
	readonly age: number;
};

/** The latest starts of this instance in one zone. */
type Starts = {
	readonly recent: Array<{readonly tokens: number; readonly startedAt: number}>;
	/** Last known tokens of this instance's requests, by incarnation id. A server that a request excludes keeps its entry. */
	readonly ownTokens: Map<string, number>;
	/** Random part of a request, which rounds the share up or down. */
	rounding: number;
	roundedAt: number;
};

/** Shortest window in milliseconds. */
const minWindowMs = 200;

/**
Limits the starts of this instance to its share of a zone's room while the room is short.

When room becomes free, all instances learn of it at about the same time. If each took what it saw, it would be taken many times over. So each takes its share within the time that passes until the others learn of it. A share below one request is rounded up or down at random.
*/
export class StartShares {
	private readonly zones = new Map<string, Starts>();

	constructor(private readonly random: RandomSource) {}

	/** Records what this instance's requests hold in a zone, and returns whether one with a number of tokens may start there. */
	allows(zone: string, room: ZoneRoom, tokens: number, now: number): boolean {
		return this.fits(this.update(zone, room, now), room, tokens);
	}

	/** The same as `allows`, without recording anything. */
	wouldAllow(zone: string, room: ZoneRoom, tokens: number): boolean {
		const starts = this.zones.get(zone);
		return !starts || this.fits(starts, room, tokens);
	}

	/** Counts a rejected start, so that its retry does not take more than the share either. */
	recordRejection(zone: string, tokens: number, now: number): void {
		this.zones.get(zone)?.recent.push({tokens, startedAt: now});
	}

	/** Removes the entries of servers that are no longer listed. */
	retain(servers: Iterable<BackendServer>): void {
		const listed = new Set([...servers].map(server => getIncarnationId(server)));
		for (const {ownTokens} of this.zones.values()) {
			for (const id of ownTokens.keys()) {
				if (!listed.has(id)) {
					ownTokens.delete(id);
				}
			}
		}
	}

	private fits({recent, rounding}: Starts, room: ZoneRoom, tokens: number): boolean {
		const started = recent.reduce((sum, start) => sum + start.tokens, 0);
		return (started + (rounding * tokens)) * room.instances <= room.tokens;
	}

	private update(zone: string, {ownTokens, age}: ZoneRoom, now: number): Starts {
		const window = Math.max(minWindowMs, age);
		const starts = this.zones.get(zone) ?? {
			recent: [], ownTokens: new Map<string, number>(), rounding: this.random.nextFraction(), roundedAt: now,
		};
		this.zones.set(zone, starts);
		while (starts.recent.length > 0 && now - starts.recent[0].startedAt > window) {
			starts.recent.shift();
		}

		let hasStarted = false;
		for (const [server, tokens] of ownTokens) {
			const id = getIncarnationId(server);
			const gained = tokens - (starts.ownTokens.get(id) ?? 0);
			starts.ownTokens.set(id, tokens);
			if (gained > 0) {
				starts.recent.push({tokens: gained, startedAt: now});
				hasStarted = true;
			}
		}

		if (hasStarted || now - starts.roundedAt >= window) {
			starts.rounding = this.random.nextFraction();
			starts.roundedAt = now;
		}

		return starts;
	}
}
