import {type CrashCause} from './crash-cause.js';
import {type CrashAnalysisOptions} from './crash-analysis-options.js';
import {type CrashReport} from './crash-report.js';
import {CrashHistory} from './crash-history.js';
import {RequestCrashes} from './request-crashes.js';
import {isRequestFingerprint} from './request-fingerprint.js';
import {ClearedSuspects} from './cleared-suspects.js';

/** Crashes of servers to each of which a part was sent after the crash before it. */
type Sequence = {
	readonly part: string;
	length: number;
	/** Monotonic time in milliseconds of the last crash. */
	endsAt: number;
	/** Incarnation ids of all crashes in which the part is a suspect, also those outside of the sequence. */
	readonly suspicions: string[];
};

/**
Finds the prompt parts and the single requests that crash each backend server that begins to answer them, from reports of crashes.

A part is a cause if it explains more crashes, one after another, than any other part, and no single request explains them all. All times are monotonic, in milliseconds. The parts in arguments and results are ids of prompt parts or fingerprints of requests.
*/
export class CrashAnalysis {
	private readonly cleared: ClearedSuspects;
	private readonly history: CrashHistory;
	private readonly requests: RequestCrashes;
	private readonly causes = new Set<string>();
	/** Whether several parts explain enough crashes, so that progress can decide. */
	private isTied = false;

	constructor(private readonly options: CrashAnalysisOptions) {
		this.cleared = new ClearedSuspects(options.clearedMemory, options.maxClearedParts);
		this.history = new CrashHistory(options);
		this.requests = new RequestCrashes(options);
	}

	/**
	Records that a request received an event from a backend server, so that all its parts are cleared.

	@returns the parts to quarantine now, since progress can break a tie; usually none
	*/
	recordProgress(parts: readonly string[], now: number): readonly CrashCause[] {
		for (const part of parts) {
			if (isRequestFingerprint(part)) {
				this.requests.recordProgress(part, now);
			} else {
				this.clear(part, now);
			}
		}

		return this.isTied ? this.findCauses(now) : [];
	}

	/** Records that another instance saw progress of parts; has the effect of `recordProgress`. */
	recordCleared(parts: readonly string[], now: number): readonly CrashCause[] {
		return this.recordProgress(parts, now);
	}

	/** Returns those of the parts that are remembered as cleared, to answer reports of other instances. */
	findCleared(parts: readonly string[], now: number): readonly string[] {
		return parts.filter(part => this.isCleared(part, now));
	}

	/** Returns a report without the parts that are remembered as cleared, to send it to other instances; undefined if no suspect is left. */
	filterSuspects(report: CrashReport, now: number): CrashReport | undefined {
		const suspects = report.suspects.filter(({part}) => !this.isCleared(part, now));
		return suspects.length === 0 ? undefined : {...report, suspects};
	}

	/**
	Adds what a report says about a crash.

	Inexact times are taken at their worst, requests as sent earlier and the crash as later, so that servers that crash at the same moment never seem to crash one after another.

	@param timeError - milliseconds by which the times of the report may be off in either direction; 0 for own reports
	@returns the parts to quarantine now, usually none
	*/
	recordCrash(report: CrashReport, now: number, timeError = 0): readonly CrashCause[] {
		const crashedAt = report.crashedAt + timeError;
		const suspects = this.filterSuspects(report, now)?.suspects.map(({part, sentAt}) => ({part, sentAt: sentAt - timeError}));
		if (!suspects || this.history.isOutdated(crashedAt, now)) {
			return [];
		}

		const {incarnationId} = report;
		const requests = this.requests.recordCrash({incarnationId, crashedAt, suspects: suspects.filter(({part}) => isRequestFingerprint(part))}, now);
		const parts = suspects.filter(({part}) => !isRequestFingerprint(part));
		if (parts.length === 0) {
			return requests;
		}

		const crash = this.history.getOrCreate(incarnationId);
		crash.merge(crashedAt, parts);
		if (parts.some(({part}) => this.causes.has(part))) {
			crash.explain();
		}

		return [...requests, ...this.findCauses(now)];
	}

	/** Whether a request is a suspect of any crash. */
	isSuspectedRequest(fingerprint: string): boolean {
		return this.requests.isSuspect(fingerprint);
	}

	/** Records that another instance found a part to be a cause, so that it explains the crashes in which it was a suspect. */
	accept(part: string): void {
		if (isRequestFingerprint(part)) {
			this.requests.accept(part);
			return;
		}

		this.causes.add(part);
		if (this.causes.size > this.options.maxCauses) {
			const [oldest] = this.causes;
			this.causes.delete(oldest);
		}

		// The part may have caused any crash since its first one, even if the reports that name it are still on their way.
		const crashes = this.history.listInOrder().map(([, crash]) => crash);
		const first = crashes.findIndex(({suspects}) => suspects.has(part));
		for (const crash of first === -1 ? [] : crashes.slice(first)) {
			crash.explain();
		}
	}

	/** Gives up a cause when its quarantine ends; later crashes can make it one again. */
	release(part: string): void {
		if (isRequestFingerprint(part)) {
			this.requests.release(part);
		}

		this.causes.delete(part);
	}

	private findCauses(now: number): readonly CrashCause[] {
		this.history.removeOld(now);
		const causes: CrashCause[] = [];
		for (let cause = this.findCause(); cause; cause = this.findCause()) {
			this.accept(cause.part);
			causes.push(cause);
		}

		return causes;
	}

	private findCause(): CrashCause | undefined {
		const [first, ...others] = this.findSequences().toSorted((left, right) => right.length - left.length);
		if (!first || first.length < this.options.minCrashes) {
			this.isTied = false;
			return undefined;
		}

		// Other reports of the crashes in the sequence may still be on their way, so a part that is suspected in many crashes outside of a sequence ties too.
		const hasRival = others.some(other => other.length === first.length || other.suspicions.length >= first.suspicions.length);
		this.isTied = hasRival || this.requests.explainsAll(first.suspicions);
		return this.isTied ? undefined : {part: first.part, crashes: first.length};
	}

	/** Finds the longest sequence of crashes for each suspect. */
	private findSequences(): readonly Sequence[] {
		const sequences = new Map<string, Sequence>();
		// The sequence that takes the earliest possible crash each time is the longest.
		for (const [incarnationId, {crashedAt, suspects}] of this.history.listInOrder()) {
			for (const [part, sentAt] of suspects) {
				const sequence = sequences.get(part) ?? {
					part, length: 0, endsAt: Number.NEGATIVE_INFINITY, suspicions: [],
				};
				sequences.set(part, sequence);
				sequence.suspicions.push(incarnationId);
				if (sentAt >= sequence.endsAt) {
					sequence.length++;
					sequence.endsAt = crashedAt;
				}
			}
		}

		return [...sequences.values()];
	}

	private isCleared(part: string, now: number): boolean {
		return isRequestFingerprint(part) ? this.requests.isCleared(part, now) : this.cleared.has(part, now);
	}

	private clear(part: string, now: number): void {
		// A part that is remembered as cleared is not held as a suspect.
		if (!this.cleared.has(part, now)) {
			for (const crash of this.history.all().values()) {
				crash.clear(part);
			}
		}

		this.cleared.add(part, now);
	}
}
