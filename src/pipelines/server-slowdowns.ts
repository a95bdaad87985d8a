import {getIncarnationId, type BackendServer} from './backend-server.js';

type Reading = {
	readonly factor: number;
	readonly recordedAt: number;
};

/** The slowdown factors that backend servers report: their step time relative to the usual one. */
export class ServerSlowdowns {
	private readonly readings = new Map<string, Reading>();

	/**
	@param expiry - milliseconds after which a reading is ignored
	*/
	constructor(private readonly expiry: number) {}

	/** Stores the factor that a server reported. */
	record(server: BackendServer, factor: number, now: number): void {
		this.readings.set(getIncarnationId(server), {factor, recordedAt: now});
	}

	/** Returns when the server last reported a factor; undefined if it never did. */
	getRecordedAt(server: BackendServer): number | undefined {
		return this.readings.get(getIncarnationId(server))?.recordedAt;
	}

	/** Returns the slowdown factor of a server, at least 1; 1 if no current reading exists. */
	getFactor(server: BackendServer, now: number): number {
		const reading = this.readings.get(getIncarnationId(server));
		return reading && now - reading.recordedAt <= this.expiry ? Math.max(1, reading.factor) : 1;
	}

	/** Removes the readings of servers that are no longer listed. */
	retain(servers: Iterable<BackendServer>): void {
		const listed = new Set([...servers].map(server => getIncarnationId(server)));
		for (const incarnationId of this.readings.keys()) {
			if (!listed.has(incarnationId)) {
				this.readings.delete(incarnationId);
			}
		}
	}
}
