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

/** A server that may get a request after a delay. */
export type DelayedServer = {
	readonly server: BackendServer;
	/** Milliseconds. */
	readonly delay: number;
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
	select(requirements: PlainServerRequirements, now: number): BackendServer | undefined {
		const {serverHealth, backpressure, random} = this.dependencies;
		const listed = this.findServers(requirements, now).filter(server => backpressure.limits.allows(server, now));
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

	/**
	Finds the server whose request limit is the first to allow a request, for a request that finds none to use now.

	@returns undefined if no server is left, or if this instance has no share of their limits
	*/
	findNextAllowed(requirements: PlainServerRequirements, now: number): DelayedServer | undefined {
		const {backpressure} = this.dependencies;
		const [next] = this.findServers(requirements, now)
			.map(server => ({server, delay: backpressure.limits.computeDelay(server, now)}))
			.toSorted((left, right) => left.delay - right.delay);
		return next && Number.isFinite(next.delay) ? next : undefined;
	}

	/** Records that a request to the server failed for a reason other than the request itself. */
	recordFailure(server: BackendServer, now: number): void {
		this.failures.set(getIncarnationId(server), {value: this.getFailures(server, now) + 1, updatedAt: now});
	}

	/** Returns the servers that may get a request apart from their limits, whether they are suspected or not. */
	private findServers({service, excluded, maxRequests: mostRequests}: PlainServerRequirements, now: number): readonly BackendServer[] {
		const {directory, backpressure, load} = this.dependencies;
		return directory.usable(service).filter(server =>
			!excluded.has(getIncarnationId(server)) && !backpressure.pauses.isPaused(server, now) && load.getRequests(server) < mostRequests);
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
