import {type RandomSource} from '../routing/random-source.js';
import {getIncarnationId, type BackendServer} from './backend-server.js';
import {type ServerHealthTracker} from './server-health-tracker.js';
import {type ServerDirectory} from './server-directory.js';
import {type ServerLoad} from './server-load.js';

const loadAgeMs = 1000;
/** Failures count half after this time. */
const failureHalfLifeMs = 3000;
/** Requests that one recent failure counts for when servers are compared. */
const failureWeight = 2;

/** What a request needs of a server. */
export type PlainServerRequirements = {
	readonly service: string;
	/** Lives that must not be used. */
	readonly excluded: ReadonlySet<string>;
	/** Requests that this instance may have on one server, since each takes a connection. */
	readonly maxRequests: number;
};

type Failures = {
	count: number;
	at: number;
};

/** Chooses a server of a plain service: of two random ones, the one with less work and fewer recent failures. */
export class PlainServerSelector {
	private readonly failures = new Map<string, Failures>();

	constructor(
		private readonly directory: ServerDirectory,
		private readonly serverHealth: ServerHealthTracker,
		private readonly load: ServerLoad,
		private readonly random: RandomSource,
	) {}

	/**
	The server to use now.

	@returns undefined where no server is left
	*/
	select({service, excluded, maxRequests: mostRequests}: PlainServerRequirements, now: number): BackendServer | undefined {
		const listed = this.directory.usable(service).filter(server => !excluded.has(getIncarnationId(server)) && this.load.getRequests(server) < mostRequests);
		const usable = listed.filter(server => this.serverHealth.isUsable(server, now));
		const unsuspected = usable.length > 0 ? usable : listed.filter(server => !this.serverHealth.isSuspected(server, now));
		// Where all are suspected, one of them is still more use than none.
		const servers = unsuspected.length > 0 ? unsuspected : listed;
		if (servers.length === 0) {
			return undefined;
		}

		const first = this.random.pick(servers);
		const second = this.random.pick(servers);
		return this.workOf(second, now) < this.workOf(first, now) ? second : first;
	}

	/** A request to the server failed, other than by the request's own doing. */
	recordFailure(server: BackendServer, now: number): void {
		this.failures.set(getIncarnationId(server), {count: this.failuresOf(server, now) + 1, at: now});
	}

	private failuresOf(server: BackendServer, now: number): number {
		const failures = this.failures.get(getIncarnationId(server));
		return failures ? failures.count * (0.5 ** ((now - failures.at) / failureHalfLifeMs)) : 0;
	}

	private workOf(server: BackendServer, now: number): number {
		const known = this.load.getReportedRequests(server, now, loadAgeMs) ?? 0;
		return Math.max(known, this.load.getRequests(server)) + (this.failuresOf(server, now) * failureWeight);
	}
}
