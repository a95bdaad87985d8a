import {type DecisionLog} from '../observation/decision-log.js';
import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';
import {computeLimitShare, type SharingInstance} from './limit-share.js';
import {TokenBucket} from './token-bucket.js';

/** What a response says about the request rate that its backend server accepts. */
export type LimitObservation = {
	/** Requests per second that the server accepts from all instances together; undefined if the response names no limit. */
	readonly perSecond?: number;
	/** Monotonic time in milliseconds at which the request was sent. */
	readonly sentAt: number;
};

/** The limit of a backend server as some instance observed it. */
export type LimitStatement = {
	readonly incarnationId: string;
	/** Requests per second of all instances together; undefined if the server lifted its limit. */
	readonly perSecond?: number;
	/** Monotonic time in milliseconds at which the server said so. */
	readonly statedAt: number;
};

/** A statement with the time of the latest change. */
export type KnownLimit = LimitStatement & {
	/** Monotonic time in milliseconds at which this instance learned of the latest change. */
	readonly changedAt: number;
};

type ShareBucket = {
	/** Undefined if this instance has no share. */
	readonly bucket?: TokenBucket;
	/** The limit and the instances from which the share was computed. */
	readonly perSecond: number;
	readonly instances: readonly SharingInstance[];
};

export type ServerLimitsDependencies = {
	/** Id of this instance. */
	readonly self: string;
	/** Returns the instances that share the servers, including this one; undefined while they are not known. */
	readonly findInstances: () => readonly SharingInstance[] | undefined;
	readonly log: DecisionLog;
	/** Called when a limit was named, changed or lifted. */
	readonly onChange: () => void;
};

/** A limit that differs from the known one by less than this fraction is no news for other instances. */
const minRelativeChange = 0.1;
/** Time for which a lifted limit is remembered, in milliseconds; longer than older statements of it circulate. */
const liftMemoryMs = 60_000;

function differsNotably(known: number | undefined, stated: number | undefined): boolean {
	if (known === undefined || stated === undefined) {
		return known !== stated;
	}

	return Math.abs(known - stated) > known * minRelativeChange;
}

/**
Keeps this instance within its share of the request rates to which backend servers limit all instances together.

A limit is in force from when this instance or another one receives it, until the server answers without it. Each request that is sent to the server as its first stage counts, also one that the server rejects.
*/
export class ServerLimits {
	/** By incarnation id. A lifted limit is kept, so that an older statement of another instance does not restore it. */
	private readonly limits = new Map<string, KnownLimit>();
	/** By incarnation id. */
	private readonly buckets = new Map<string, ShareBucket>();

	constructor(private readonly dependencies: ServerLimitsDependencies) {}

	/** Number of servers that currently name a limit. */
	get size(): number {
		return [...this.limits.values()].filter(({perSecond}) => perSecond !== undefined).length;
	}

	/** Records what a response says. A response that names no limit lifts it, unless its request was sent before the server last named one. */
	observe(server: BackendServer, {perSecond, sentAt}: LimitObservation, now: number): void {
		const incarnationId = getIncarnationId(server);
		const known = this.limits.get(incarnationId);
		if (perSecond !== undefined || (known && sentAt >= known.statedAt)) {
			this.apply({incarnationId, perSecond, statedAt: now}, now);
		}
	}

	/** Applies a statement, which may come from another instance, unless a later one is known. */
	apply(statement: LimitStatement, now: number): void {
		const {incarnationId, perSecond, statedAt} = statement;
		const known = this.limits.get(incarnationId);
		// A lift says nothing about a server without a known limit; the instances would remind one another of it for ever.
		const isRelevant = known ? known.statedAt < statedAt : perSecond !== undefined;
		if (!isRelevant) {
			return;
		}

		const hasChanged = differsNotably(known?.perSecond, perSecond);
		this.limits.set(incarnationId, {...statement, changedAt: hasChanged ? now : known?.changedAt ?? now});
		if (hasChanged) {
			this.dependencies.log.write('server.limited', {server: incarnationId, perSecond, previous: known?.perSecond});
			this.dependencies.onChange();
		}
	}

	/** Returns all statements, the latest changes first. */
	findStatements(): readonly KnownLimit[] {
		return [...this.limits.values()].toSorted((left, right) => right.changedAt - left.changedAt);
	}

	/** Returns the milliseconds until this instance may send the server a request; 0 if it may now, Infinity if it has no share of the server's limit. */
	computeDelay(server: BackendServer, now: number): number {
		const {perSecond} = this.limits.get(getIncarnationId(server)) ?? {};
		if (perSecond === undefined) {
			return 0;
		}

		return this.updateBucket(server, perSecond, now)?.computeDelay(now) ?? Number.POSITIVE_INFINITY;
	}

	/** Whether this instance may send the server a request now. */
	allows(server: BackendServer, now: number): boolean {
		return this.computeDelay(server, now) === 0;
	}

	/** Counts a request that is sent to the server now, or is going to be sent after the delay. */
	recordRequest(server: BackendServer, now: number): void {
		const {perSecond} = this.limits.get(getIncarnationId(server)) ?? {};
		if (perSecond !== undefined) {
			this.updateBucket(server, perSecond, now)?.take(now);
		}
	}

	/** Removes the limits of incarnations that are no longer listed, and those that were lifted long ago. */
	retain(servers: Iterable<BackendServer>, now: number): void {
		const listed = new Set([...servers].map(server => getIncarnationId(server)));
		for (const [incarnationId, {perSecond, changedAt}] of this.limits) {
			const isForgotten = perSecond === undefined && now - changedAt > liftMemoryMs;
			if (isForgotten || !listed.has(incarnationId)) {
				this.limits.delete(incarnationId);
				this.buckets.delete(incarnationId);
			}
		}
	}

	/** Returns the bucket with this instance's share of a limit; undefined if it has none. */
	private updateBucket(server: BackendServer, perSecond: number, now: number): TokenBucket | undefined {
		const incarnationId = getIncarnationId(server);
		const {self, findInstances} = this.dependencies;
		const instances = findInstances();
		const known = this.buckets.get(incarnationId);
		if (known?.perSecond === perSecond && known.instances === instances) {
			return known.bucket;
		}

		if (!instances) {
			return undefined;
		}

		const rate = computeLimitShare(server, perSecond, self, instances);
		const bucket = rate && (known?.bucket ?? new TokenBucket(rate, now));
		if (rate) {
			bucket?.setRate(rate, now);
		}

		this.buckets.set(incarnationId, {bucket, perSecond, instances});
		return bucket;
	}
}
