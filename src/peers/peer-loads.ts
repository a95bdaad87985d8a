import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';

type Told = {
	readonly loads: ReadonlyMap<string, number>;
	readonly at: number;
};

/** The load that other instances put on backend servers, as each last told. */
export class PeerLoads {
	private readonly told = new Map<string, Told>();

	/**
	@param expiry - milliseconds after which what an instance told no longer counts
	*/
	constructor(private readonly expiry: number) {}

	/** Takes over what an instance tells. */
	update(from: string, loads: Readonly<Record<string, number>>, now: number): void {
		this.told.set(from, {loads: new Map(Object.entries(loads)), at: now});
	}

	/** Number of other instances that told lately. */
	countReporting(now: number): number {
		this.forget(now);
		return this.told.size;
	}

	/** Tokens that requests of the other instances hold on the server. */
	getTokens(server: BackendServer, now: number): number {
		this.forget(now);
		const life = getIncarnationId(server);
		let sum = 0;
		for (const {loads} of this.told.values()) {
			sum += loads.get(life) ?? 0;
		}

		return sum;
	}

	private forget(now: number): void {
		for (const [from, {at}] of this.told) {
			if (now - at > this.expiry) {
				this.told.delete(from);
			}
		}
	}
}
