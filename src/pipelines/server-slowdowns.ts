import {getIncarnationId, type BackendServer} from './backend-server.js';

type Reading = {
	readonly factor: number;
	readonly recordedAt: number;
};

/** A slowdown factor that an instance learnt of a server. */
export type SlowdownReading = {
	readonly incarnationId: string;
	/** Step time relative to the usual one. */
	readonly factor: number;
	/** Monotonic time in milliseconds. */
	readonly recordedAt: number;
};

/** Slowdown factor from which a server counts as slow. */
const minSlowFactor = 1.5;

/** Whether a server with this slowdown factor counts as slow. */
export function isSlow(factor: number): boolean {
	return factor >= minSlowFactor;
}

/** The slowdown factors that backend servers report, to this instance or to others: their step time relative to the usual one. */
export class ServerSlowdowns {
	private readonly readings = new Map<string, Reading>();
	private readonly queriedAt = new Map<string, number>();

	/**
	@param expiry - milliseconds after which a reading is ignored
	*/
	constructor(private readonly expiry: number) {}

	/** Stores the factor that a server reported, unless a newer one is known. */
	record(server: BackendServer, factor: number, now: number): void {
		const incarnationId = getIncarnationId(server);
		if (now > (this.readings.get(incarnationId)?.recordedAt ?? Number.NEGATIVE_INFINITY)) {
			this.readings.set(incarnationId, {factor, recordedAt: now});
		}
	}

	/** Records that this instance queries a server. */
	recordQuery(server: BackendServer, now: number): void {
		this.queriedAt.set(getIncarnationId(server), now);
	}

	/** Returns when this instance last queried the server, or when the server last reported a factor, whichever is later; undefined if neither has happened. */
	getAskedAt(server: BackendServer): number | undefined {
		const incarnationId = getIncarnationId(server);
		const times = [this.queriedAt.get(incarnationId), this.readings.get(incarnationId)?.recordedAt].filter(time => time !== undefined);
		return times.length === 0 ? undefined : Math.max(...times);
	}

	/** Returns the slowdown factor of a server, at least 1; 1 if no current reading exists. */
	getFactor(server: BackendServer, now: number): number {
		const reading = this.readings.get(getIncarnationId(server));
		return reading && now - reading.recordedAt <= this.expiry ? Math.max(1, reading.factor) : 1;
	}

	/** Returns the readings that have not expired: those of slow servers first, then the latest ones. */
	findCurrent(now: number): readonly SlowdownReading[] {
		return [...this.readings]
			.filter(([, {recordedAt}]) => now - recordedAt <= this.expiry)
			.toSorted(([, left], [, right]) => Number(isSlow(right.factor)) - Number(isSlow(left.factor)) || right.recordedAt - left.recordedAt)
			.map(([incarnationId, {factor, recordedAt}]) => ({incarnationId, factor, recordedAt}));
	}

	/** Removes what is known of servers that are no longer listed. */
	retain(servers: Iterable<BackendServer>): void {
		const listed = new Set([...servers].map(server => getIncarnationId(server)));
		for (const entries of [this.readings, this.queriedAt]) {
			for (const incarnationId of entries.keys()) {
				if (!listed.has(incarnationId)) {
					entries.delete(incarnationId);
				}
			}
		}
	}
}
