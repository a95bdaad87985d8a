import {type RandomSource} from '../routing/random-source.js';
import {getIncarnationId, type BackendServer} from './backend-server.js';
import {type ServerHealthTracker} from './server-health-tracker.js';
import {type ServerDirectory} from './server-directory.js';
import {type ServerLoad} from './server-load.js';

/** Age after which the load that a server reported is ignored. */
const maxLoadAgeMs = 1000;
/** Half-life of recorded failures. */
const failureHalfLifeMs = 3000;
/** Number of requests that one recent failure is equivalent to when servers are compared. */
const failureWeight = 2;

/** The requirements of a request on its server. */
export type PlainServerRequirements = {
	readonly service: string;
	/** Incarnation ids of servers that must not be used. */
	readonly excluded: ReadonlySet<string>;
	/** Largest number of requests that this instance may run on one server, since each takes a connection. */
	readonly maxRequests: number;
};

type FailureCount = {
	value: number;
	updatedAt: number;
};

/** Selects a server of a plain service: of two random ones, the one with fewer requests and fewer recent failures. */
export class PlainServerSelector {
	private readonly failures = new Map<string, FailureCount>();

	constructor(
		private readonly directory: ServerDirectory,
		private readonly serverHealth: ServerHealthTracker,
		private readonly load: ServerLoad,
		private readonly random: RandomSource,
	) {}

	/**
	Selects the server to use now.

	@returns undefined if no server is left
	*/
	select({service, excluded, maxRequests: mostRequests}: PlainServerRequirements, now: number): BackendServer | undefined {
		const listed = this.directory.usable(service).filter(server =>
			!excluded.has(getIncarnationId(server)) && !this.serverHealth.isPaused(server, now) && this.load.getRequests(server) < mostRequests);
		const usable = listed.filter(server => this.serverHealth.isUsable(server, now));
		const unsuspected = usable.length > 0 ? usable : listed.filter(server => !this.serverHealth.isSuspected(server, now));
		// If all servers are suspected, trying one of them is better than failing the request.
		const servers = unsuspected.length > 0 ? unsuspected : listed;
		if (servers.length === 0) {
			return undefined;
		}

		const first = this.random.pick(servers);
		const second = this.random.pick(servers);
		return this.computeScore(second, now) < this.computeScore(first, now) ? second : first;
	}

	/** Records that a request to the server failed for a reason other than the request itself. */
	recordFailure(server: BackendServer, now: number): void {
		this.failures.set(getIncarnationId(server), {value: this.getFailures(server, now) + 1, updatedAt: now});
	}

	/** Returns the number of failures, decayed by their age. */
	private getFailures(server: BackendServer, now: number): number {
		const failures = this.failures.get(getIncarnationId(server));
		return failures ? failures.value * (0.5 ** ((now - failures.updatedAt) / failureHalfLifeMs)) : 0;
	}

	private computeScore(server: BackendServer, now: number): number {
		const reported = this.load.getReportedRequests(server, now, maxLoadAgeMs) ?? 0;
		return Math.max(reported, this.load.getRequests(server)) + (this.getFailures(server, now) * failureWeight);
	}
}
