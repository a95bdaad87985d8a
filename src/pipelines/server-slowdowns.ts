import {getIncarnationId, type BackendServer} from './backend-server.js';

type Reading = {
	readonly pace: number;
	readonly at: number;
};

/** How slow backend servers said they are, relative to the usual. */
export class ServerSlowdowns {
	private readonly readings = new Map<string, Reading>();

	/**
	@param expiry - milliseconds after which a reading no longer counts
	*/
	constructor(private readonly expiry: number) {}

	/** Takes over what a server said. */
	record(server: BackendServer, pace: number, now: number): void {
		this.readings.set(getIncarnationId(server), {pace, at: now});
	}

	/** When the server last said it; undefined where it never did. */
	getRecordedAt(server: BackendServer): number | undefined {
		return this.readings.get(getIncarnationId(server))?.at;
	}

	/** How slow the server is; 1 where nothing is known. */
	getFactor(server: BackendServer, now: number): number {
		const reading = this.readings.get(getIncarnationId(server));
		return reading && now - reading.at <= this.expiry ? Math.max(1, reading.pace) : 1;
	}

	/** Forgets servers that are not on the list any more. */
	retain(servers: Iterable<BackendServer>): void {
		const lives = new Set([...servers].map(server => getIncarnationId(server)));
		for (const life of this.readings.keys()) {
			if (!lives.has(life)) {
				this.readings.delete(life);
			}
		}
	}
}
