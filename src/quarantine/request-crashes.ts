import {type CrashCause} from './crash-cause.js';
import {type CrashAnalysisOptions} from './crash-analysis-options.js';
import {CrashHistory} from './crash-history.js';
import {type CrashReport} from './crash-report.js';
import {ClearedSuspects} from './cleared-suspects.js';

/** Crashes, one after another, that a request must explain to be found a cause; the others may have come at the same moment. */
const minSequence = 2;

/** The crashes in which one request is a suspect. */
type Suspicion = {
	readonly fingerprint: string;
	readonly incarnationIds: string[];
	/** Number of crashes, one after another, to each of which the request was sent after the one before. */
	sequence: number;
	/** Monotonic time in milliseconds of the last crash of the sequence. */
	endsAt: number;
};

/** Finds single requests that crash each backend server that begins to run them, by their fingerprints. All times are monotonic, in milliseconds. */
export class RequestCrashes {
	private readonly cleared: ClearedSuspects;
	private readonly history: CrashHistory;
	private readonly causes = new Set<string>();

	constructor(private readonly options: CrashAnalysisOptions) {
		this.cleared = new ClearedSuspects(options.clearedMemory, options.maxClearedRequests);
		this.history = new CrashHistory(options);
	}

	/** Records that a backend server ran the request without crashing. */
	recordProgress(fingerprint: string, now: number): void {
		if (!this.cleared.has(fingerprint, now)) {
			for (const crash of this.history.all().values()) {
				crash.clear(fingerprint);
			}
		}

		this.cleared.add(fingerprint, now);
	}

	/** Whether the request is remembered as cleared. */
	isCleared(fingerprint: string, now: number): boolean {
		return this.cleared.has(fingerprint, now);
	}

	/** Whether the request is a suspect of any crash that is held. */
	isSuspect(fingerprint: string): boolean {
		return [...this.history.all().values()].some(({suspects}) => suspects.has(fingerprint));
	}

	/** Adds what a report says about a crash, whose suspects are fingerprints and whose times are exact or taken at their worst; returns the requests to quarantine now. */
	recordCrash({incarnationId, crashedAt, suspects}: CrashReport, now: number): readonly CrashCause[] {
		if (suspects.length === 0 || this.history.isOutdated(crashedAt, now)) {
			return [];
		}

		this.history.getOrCreate(incarnationId).merge(crashedAt, suspects);
		this.history.removeOld(now);
		const causes = this.findCauses();
		for (const {part} of causes) {
			this.accept(part);
		}

		return causes;
	}

	/** Whether one request is a suspect of all these crashes, so that nothing else needs to be looked for. */
	explainsAll(incarnationIds: readonly string[]): boolean {
		const [first, ...others] = incarnationIds.map(id => this.history.all().get(id)?.suspects);
		return [...first?.keys() ?? []].some(fingerprint => others.every(suspects => suspects?.has(fingerprint)));
	}

	/** Records that a request is quarantined. */
	accept(fingerprint: string): void {
		this.causes.add(fingerprint);
		if (this.causes.size > this.options.maxCauses) {
			const [oldest] = this.causes;
			this.causes.delete(oldest);
		}
	}

	/** Gives up a cause when its quarantine ends; only later crashes count against it. */
	release(fingerprint: string): void {
		this.causes.delete(fingerprint);
		for (const crash of this.history.all().values()) {
			crash.clear(fingerprint);
		}
	}

	private findCauses(): readonly CrashCause[] {
		const suspicions = this.findSuspicions();
		const candidates = suspicions.filter(({fingerprint, incarnationIds, sequence}) =>
			!this.causes.has(fingerprint) && incarnationIds.length >= this.options.minCrashes && sequence >= minSequence);
		return candidates
			.filter(candidate => !suspicions.some(other => other !== candidate && candidate.incarnationIds.every(id => other.incarnationIds.includes(id))))
			.map(({fingerprint, incarnationIds}) => ({part: fingerprint, crashes: incarnationIds.length}));
	}

	private findSuspicions(): readonly Suspicion[] {
		const suspicions = new Map<string, Suspicion>();
		for (const [incarnationId, {crashedAt, suspects}] of this.history.listInOrder()) {
			for (const [fingerprint, sentAt] of suspects) {
				const suspicion = suspicions.get(fingerprint) ?? {
					fingerprint, incarnationIds: [], sequence: 0, endsAt: Number.NEGATIVE_INFINITY,
				};
				suspicions.set(fingerprint, suspicion);
				suspicion.incarnationIds.push(incarnationId);
				if (sentAt >= suspicion.endsAt) {
					suspicion.sequence++;
					suspicion.endsAt = crashedAt;
				}
			}
		}

		return [...suspicions.values()];
	}
}
