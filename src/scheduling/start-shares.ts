import {type RandomSource} from '../routing/random-source.js';

/** What limits the starts of this instance in one availability zone. */
export type ZoneRoom = {
	/** Tokens that fit at the scarcest layer until the starts of this window are reported. */
	readonly tokens: number;
	/** Tokens that this instance's requests hold there. */
	readonly ownTokens: number;
	/** Number of instances that share the room. */
	readonly instances: number;
	/** Milliseconds until others know of a start. */
	readonly age: number;
};

/** The latest starts of this instance in one zone. */
type Starts = {
	readonly recent: Array<{readonly tokens: number; readonly startedAt: number}>;
	ownTokens: number;
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
		const starts = this.update(zone, room, now);
		const started = starts.recent.reduce((sum, start) => sum + start.tokens, 0);
		return (started + (starts.rounding * tokens)) * room.instances <= room.tokens;
	}

	/** Counts a rejected start, so that its retry does not take more than the share either. */
	recordRejection(zone: string, tokens: number, now: number): void {
		this.zones.get(zone)?.recent.push({tokens, startedAt: now});
	}

	private update(zone: string, {ownTokens, age}: ZoneRoom, now: number): Starts {
		const window = Math.max(minWindowMs, age);
		const starts = this.zones.get(zone) ?? {
			recent: [], ownTokens, rounding: this.random.nextFraction(), roundedAt: now,
		};
		this.zones.set(zone, starts);
		while (starts.recent.length > 0 && now - starts.recent[0].startedAt > window) {
			starts.recent.shift();
		}

		const hasStarted = ownTokens > starts.ownTokens;
		if (hasStarted) {
			starts.recent.push({tokens: ownTokens - starts.ownTokens, startedAt: now});
		}

		starts.ownTokens = ownTokens;
		if (hasStarted || now - starts.roundedAt >= window) {
			starts.rounding = this.random.nextFraction();
			starts.roundedAt = now;
		}

		return starts;
	}
}
