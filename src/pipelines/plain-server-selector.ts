import {type Backpressure} from '../backpressure/backpressure.js';
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

export type PlainServerSelectorDependencies = {
	readonly directory: ServerDirectory;
	readonly serverHealth: ServerHealthTracker;
	readonly backpressure: Backpressure;
	readonly load: ServerLoad;
	readonly random: RandomSource;
};

type FailureCount = {
	value: number;
	updatedAt: number;
};

/** Selects a server of a plain service: of two random ones, the one with fewer requests and fewer recent failures. */
export class PlainServerSelector {
	private readonly failures = new Map<string, FailureCount>();

	constructor(private readonly dependencies: PlainServerSelectorDependencies) {}

	/**
	Selects the server to use now.

	@returns undefined if no server is left
	*/
	select({service, excluded, maxRequests: mostRequests}: PlainServerRequirements, now: number): BackendServer | undefined {
		const {directory, serverHealth, backpressure, load, random} = this.dependencies;
		const listed = directory.usable(service).filter(server =>
			!excluded.has(getIncarnationId(server)) && !backpressure.pauses.isPaused(server, now) && load.getRequests(server) < mostRequests);
		const usable = listed.filter(server => serverHealth.isUsable(server, now));
		const unsuspected = usable.length > 0 ? usable : listed.filter(server => !serverHealth.isSuspected(server, now));
		// If all servers are suspected, trying one of them is better than failing the request.
		const servers = unsuspected.length > 0 ? unsuspected : listed;
		if (servers.length === 0) {
			return undefined;
		}

		const first = random.pick(servers);
		const second = random.pick(servers);
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
		const {load} = this.dependencies;
		const reported = load.getReportedRequests(server, now, maxLoadAgeMs) ?? 0;
		return Math.max(reported, load.getRequests(server)) + (this.getFailures(server, now) * failureWeight);
	}
}
