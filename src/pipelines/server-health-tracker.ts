import {type DecisionLog} from '../observation/decision-log.js';
import {type Pipeline} from './pipeline.js';
import {getIncarnationId, type BackendServer} from './backend-server.js';
import {SuspicionCause} from './suspicion-cause.js';

/** Age of a suspicion from which an event that arrives was sent after it, in milliseconds. */
const refutationDelayMs = 200;
/** Limit of the saturation back-off, as a multiple of its first duration. */
const maxSaturationMultiple = 3;

/** What is known about the health of a backend server, from this instance's requests and from its peers. */
type HealthRecord = {
	/** Monotonic time in milliseconds until which the server gets no new requests. */
	suspectUntil: number;
	/** Monotonic time in milliseconds at which the current suspicion began. */
	suspectedAt: number;
	/** Why the server is suspected; undefined if it never was. */
	cause?: SuspicionCause;
	/** Whether the server's address refused a connection, so that its process has ended. */
	hasEnded: boolean;
	/** Monotonic time in milliseconds until which the server is assumed to lack memory or slots. */
	saturatedUntil: number;
	/** Monotonic time in milliseconds of the last request sent to the server, such as a trial after a suspicion expired. */
	dispatchedAt: number;
	/** Suspicions since the server last completed work. */
	consecutiveSuspicions: number;
	/** Consecutive requests that the server rejected. */
	consecutiveRejections: number;
};

/** Durations of suspicions and back-offs, in milliseconds. */
export type ServerHealthTimings = {
	/** Duration of the first suspicion; each consecutive one lasts twice as long. */
	readonly suspicion: number;
	readonly maxSuspicion: number;
	/** How long a server gets no requests after its first rejection; grows with each consecutive one. */
	readonly saturationBackoff: number;
	/** Pause between trial requests to a server whose suspicion expired. */
	readonly trialPause: number;
};

/**
Tracks which backend servers are suspected to be down or saturated.

A suspected server gets no new requests. When the suspicion expires, it gets single trial requests until one succeeds.
*/
export class ServerHealthTracker {
	private readonly records = new Map<string, HealthRecord>();
	/** Monotonic time in milliseconds at which each incarnation was last asked for a report in which it named itself, by incarnation id. */
	private readonly reportedAt = new Map<string, number>();

	constructor(private readonly timings: ServerHealthTimings, private readonly log: DecisionLog) {}

	/** Returns the number of suspected incarnations. */
	countSuspected(now: number): number {
		return [...this.records.values()].filter(({suspectUntil}) => suspectUntil > now).length;
	}

	/**
	Marks a server as suspected because of evidence that it does not work.

	@returns whether the server was not suspected before
	*/
	suspect(server: BackendServer, reason: string, now: number, cause: SuspicionCause): boolean {
		const record = this.getOrCreateRecord(server);
		record.hasEnded ||= cause === SuspicionCause.Refusing;
		if (record.suspectUntil > now) {
			// What the server itself says outweighs silence; an event does not refute it.
			record.cause = cause === SuspicionCause.Failing ? cause : record.cause;
			return false;
		}

		record.suspectedAt = now;
		record.cause = cause;
		record.consecutiveSuspicions++;
		const duration = Math.min(this.timings.maxSuspicion, this.timings.suspicion * (2 ** (record.consecutiveSuspicions - 1)));
		record.suspectUntil = now + duration;
		this.log.warn('server.suspected', {
			server: server.id, address: server.address, cause, reason, strikes: record.consecutiveSuspicions, forMs: duration,
		});
		return true;
	}

	/**
	Records that the server rejected a request. The back-off grows with each consecutive rejection, up to a limit.

	@returns the number of consecutive rejections
	*/
	recordRejection(server: BackendServer, now: number): number {
		const record = this.getOrCreateRecord(server);
		record.consecutiveRejections++;
		record.saturatedUntil = now + (this.timings.saturationBackoff * Math.min(maxSaturationMultiple, record.consecutiveRejections));
		return record.consecutiveRejections;
	}

	/** Resets the health record of a server that completed work sent after the suspicion began. */
	clearSuspicion(server: BackendServer, now: number): void {
		const record = this.records.get(getIncarnationId(server));
		if (!record) {
			return;
		}

		if (record.consecutiveSuspicions > 0) {
			this.log.write('server.cleared', {server: server.id, strikes: record.consecutiveSuspicions, wasSuspected: record.suspectUntil > now});
		}

		this.records.delete(getIncarnationId(server));
	}

	/** Resets the health records of all stages of a pipeline that completed work. */
	clearPipeline(pipeline: Pipeline, now: number): void {
		for (const {server} of pipeline) {
			this.clearSuspicion(server, now);
		}
	}

	/** Records that a stream received an event along a pipeline. This refutes a suspicion that a stage does not work, unless the stage itself said so or the event may have been sent before the suspicion. */
	recordPipelineProgress(pipeline: Pipeline, now: number): void {
		for (const {server} of pipeline) {
			const record = this.records.get(getIncarnationId(server));
			const isRefutable = record !== undefined && record.suspectUntil > now && record.cause !== SuspicionCause.Failing;
			if (isRefutable && now - record.suspectedAt >= refutationDelayMs) {
				this.clearSuspicion(server, now);
			}
		}
	}

	/** Whether the server is currently suspected. */
	isSuspected(server: BackendServer, now: number): boolean {
		return (this.records.get(getIncarnationId(server))?.suspectUntil ?? 0) > now;
	}

	/** Whether the server refused a connection since it last completed work, so that it no longer executes requests. Silence is no evidence of that. */
	hasEnded(server: BackendServer): boolean {
		return this.records.get(getIncarnationId(server))?.hasEnded ?? false;
	}

	/**
	Records a report of the process at the server's address.

	@param startedAt - the start of that process as Unix time in milliseconds; undefined if it does not tell
	@param askedAt - monotonic time in milliseconds at which it was asked
	*/
	recordReport(server: BackendServer, startedAt: number | undefined, askedAt: number): void {
		if (startedAt === server.startedAt) {
			this.reportedAt.set(getIncarnationId(server), askedAt);
		}
	}

	/** Whether this incarnation of the server has given a report for which it was asked at a monotonic time in milliseconds, or later. */
	hasOutlived(server: BackendServer, time: number): boolean {
		return (this.reportedAt.get(getIncarnationId(server)) ?? Number.NEGATIVE_INFINITY) >= time;
	}

	/** Whether the server has completed work since it was last suspected, or never was suspected. */
	isHealthy(server: BackendServer): boolean {
		return (this.records.get(getIncarnationId(server))?.consecutiveSuspicions ?? 0) === 0;
	}

	/** Whether the server may be selected for a new request. */
	isUsable(server: BackendServer, now: number): boolean {
		const record = this.records.get(getIncarnationId(server));
		if (!record) {
			return true;
		}

		if (record.suspectUntil > now || record.saturatedUntil > now) {
			return false;
		}

		return record.consecutiveSuspicions === 0 || now - record.dispatchedAt >= this.timings.trialPause;
	}

	/** Records that a request is sent to the server. */
	recordDispatch(server: BackendServer, now: number): void {
		const record = this.records.get(getIncarnationId(server));
		if (record) {
			record.dispatchedAt = now;
		}
	}

	/** Records that a request is sent along a pipeline. */
	recordPipelineDispatch(pipeline: Pipeline, now: number): void {
		for (const {server} of pipeline) {
			this.recordDispatch(server, now);
		}
	}

	/** Removes the records of servers that are suspected only because this instance could not connect to them, when it can again. */
	clearUnverified(): void {
		for (const [incarnationId, {cause, hasEnded}] of this.records) {
			if (cause === SuspicionCause.Unverified && !hasEnded) {
				this.records.delete(incarnationId);
			}
		}
	}

	/** Removes the records of incarnations that are no longer listed. */
	retain(servers: Iterable<BackendServer>): void {
		const listed = new Set([...servers].map(server => getIncarnationId(server)));
		for (const incarnationId of [...this.records.keys(), ...this.reportedAt.keys()]) {
			if (!listed.has(incarnationId)) {
				this.records.delete(incarnationId);
				this.reportedAt.delete(incarnationId);
			}
		}
	}

	private getOrCreateRecord(server: BackendServer): HealthRecord {
		const incarnationId = getIncarnationId(server);
		const record = this.records.get(incarnationId) ?? {
			suspectUntil: 0, suspectedAt: Number.NEGATIVE_INFINITY, hasEnded: false, saturatedUntil: 0, dispatchedAt: Number.NEGATIVE_INFINITY, consecutiveSuspicions: 0, consecutiveRejections: 0,
		};
		this.records.set(incarnationId, record);
		return record;
	}
}
