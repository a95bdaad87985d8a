import {type DecisionLog} from '../observation/decision-log.js';
import {type Pipeline} from './pipeline.js';
import {getIncarnationId, type BackendServer} from './backend-server.js';

/** The most times that the first time of being full is lengthened. */
const longestFullness = 3;

/** What this instance thinks of a backend server from its own evidence and that of its peers. */
type Belief = {
	/** Monotonic time in milliseconds until which it gets no new work. */
	suspectUntil: number;
	/** Whether the latest suspicion is that it ended or is cut off, not only that it should get no work. */
	isEnded: boolean;
	/** Monotonic time until which it is taken to be short of memory or places. */
	fullUntil: number;
	/** Monotonic time of the last request that tries a server whose suspicion has run out. */
	triedAt: number;
	/** Suspicions since it last worked. */
	strikes: number;
	/** Requests that it rejected one after the other, with none that it took in between. */
	rejections: number;
};

/** How long beliefs last, in milliseconds. */
export type ServerHealthTimings = {
	/** The first suspicion; it doubles with each further one. */
	readonly suspicion: number;
	readonly longestSuspicion: number;
	/** How long a server is passed over after it said that it is full. */
	readonly fullness: number;
	/** Pause between requests that try a server again. */
	readonly trialPause: number;
};

/**
Keeps suspicions of backend servers. A suspected server gets no new work; when the time is over, single requests try it until one succeeds.
*/
export class ServerHealthTracker {
	private readonly beliefs = new Map<string, Belief>();

	constructor(private readonly times: ServerHealthTimings, private readonly log: DecisionLog) {}

	/** Number of lives that are suspected. */
	countSuspected(now: number): number {
		return [...this.beliefs.values()].filter(({suspectUntil}) => suspectUntil > now).length;
	}

	/**
	There is evidence that the server does not work.

	@param isEnded - whether this instance itself found that it gives no answer or that others wait for it
	@returns whether it was not suspected before
	*/
	suspect(server: BackendServer, reason: string, now: number, isEnded = false): boolean {
		const belief = this.beliefOf(server);
		if (belief.suspectUntil > now) {
			belief.isEnded ||= isEnded;
			return false;
		}

		belief.isEnded = isEnded;
		belief.strikes++;
		const duration = Math.min(this.times.longestSuspicion, this.times.suspicion * (2 ** (belief.strikes - 1)));
		belief.suspectUntil = now + duration;
		this.log.warn('server.suspected', {
			server: server.id, address: server.address, reason, strikes: belief.strikes, forMs: duration,
		});
		return true;
	}

	/**
	The server said that it takes no request; it is passed over for longer each time.

	@returns how many it rejected one after the other
	*/
	recordRejection(server: BackendServer, now: number): number {
		const belief = this.beliefOf(server);
		belief.rejections++;
		belief.fullUntil = now + (this.times.fullness * Math.min(longestFullness, belief.rejections));
		return belief.rejections;
	}

	/** The server did work that was sent after the suspicion began. */
	clearSuspicion(server: BackendServer, now: number): void {
		const belief = this.beliefs.get(getIncarnationId(server));
		if (!belief) {
			return;
		}

		if (belief.strikes > 0) {
			this.log.write('server.cleared', {server: server.id, strikes: belief.strikes, wasSuspected: belief.suspectUntil > now});
		}

		this.beliefs.delete(getIncarnationId(server));
	}

	/** A pipeline did work: each of its stages works. */
	clearPipeline(pipeline: Pipeline, now: number): void {
		for (const {server} of pipeline) {
			this.clearSuspicion(server, now);
		}
	}

	/** Whether there is reason to think that the server is down. */
	isSuspected(server: BackendServer, now: number): boolean {
		return (this.beliefs.get(getIncarnationId(server))?.suspectUntil ?? 0) > now;
	}

	/** Whether there is reason to think that the server ended or is cut off, so that nothing runs there for us. */
	isUnreachable(server: BackendServer, now: number): boolean {
		return this.isSuspected(server, now) && this.beliefs.get(getIncarnationId(server))!.isEnded;
	}

	/** Whether the server has worked since it was last suspected. */
	isHealthy(server: BackendServer): boolean {
		return (this.beliefs.get(getIncarnationId(server))?.strikes ?? 0) === 0;
	}

	/** Whether the server may be chosen for new work. */
	isUsable(server: BackendServer, now: number): boolean {
		const belief = this.beliefs.get(getIncarnationId(server));
		if (!belief) {
			return true;
		}

		if (belief.suspectUntil > now || belief.fullUntil > now) {
			return false;
		}

		return belief.strikes === 0 || now - belief.triedAt >= this.times.trialPause;
	}

	/** A request is sent to the server. */
	recordDispatch(server: BackendServer, now: number): void {
		const belief = this.beliefs.get(getIncarnationId(server));
		if (belief) {
			belief.triedAt = now;
		}
	}

	/** A request is sent along a pipeline. */
	recordPipelineDispatch(pipeline: Pipeline, now: number): void {
		for (const {server} of pipeline) {
			this.recordDispatch(server, now);
		}
	}

	/** Forgets lives that are not on the list any more. */
	retain(servers: Iterable<BackendServer>): void {
		const lives = new Set([...servers].map(server => getIncarnationId(server)));
		for (const life of this.beliefs.keys()) {
			if (!lives.has(life)) {
				this.beliefs.delete(life);
			}
		}
	}

	private beliefOf(server: BackendServer): Belief {
		const life = getIncarnationId(server);
		const belief = this.beliefs.get(life) ?? {
			suspectUntil: 0, isEnded: false, fullUntil: 0, triedAt: Number.NEGATIVE_INFINITY, strikes: 0, rejections: 0,
		};
		this.beliefs.set(life, belief);
		return belief;
	}
}
