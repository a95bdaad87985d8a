import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';

type ReportedLoads = {
	/** Tokens by incarnation id of the server. */
	readonly tokens: ReadonlyMap<string, number>;
	readonly receivedAt: number;
};

/** The load that other instances put on backend servers, according to the last message of each. */
export class PeerLoads {
	private readonly reports = new Map<string, ReportedLoads>();

	/**
	@param expiry - milliseconds after which the report of an instance is ignored
	*/
	constructor(private readonly expiry: number) {}

	/** Stores the loads that an instance reports. */
	update(from: string, loads: Readonly<Record<string, number>>, now: number): void {
		this.reports.set(from, {tokens: new Map(Object.entries(loads)), receivedAt: now});
	}

	/** Returns the number of other instances with a current report. */
	countReporting(now: number): number {
		this.removeExpired(now);
		return this.reports.size;
	}

	/** Returns the tokens that requests of the other instances hold on the server. */
	getTokens(server: BackendServer, now: number): number {
		this.removeExpired(now);
		const incarnationId = getIncarnationId(server);
		let sum = 0;
		for (const {tokens} of this.reports.values()) {
			sum += tokens.get(incarnationId) ?? 0;
		}

		return sum;
	}

	private removeExpired(now: number): void {
		for (const [from, {receivedAt}] of this.reports) {
			if (now - receivedAt > this.expiry) {
				this.reports.delete(from);
			}
		}
	}
}
