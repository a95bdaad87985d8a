import {type Accusation} from './accusation.js';
import {type CrashAnalysisOptions} from './crash-analysis-options.js';
import {type CrashReport} from './crash-report.js';
import {Crash} from './crash.js';
import {SoundParts} from './sound-parts.js';

/** Crashes of servers to each of which a part was sent after the crash before it. */
type Sequence = {
	readonly part: string;
	length: number;
	/** Monotonic time in milliseconds of the last crash. */
	endsAt: number;
	/** All crashes in which the part is a suspect, also those outside of the sequence. */
	suspicions: number;
};

/**
Finds the prompt parts that crash each backend server that begins to answer them, from reports of crashes.

A part is accused if it explains more crashes, one after another, than any other part. All times are monotonic, in milliseconds.
*/
export class CrashAnalysis {
	private readonly sound: SoundParts;
	/** By incarnation id. */
	private readonly crashes = new Map<string, Crash>();
	private readonly accused = new Set<string>();
	/** Whether several parts explain enough crashes, so that progress can decide. */
	private isTied = false;

	constructor(private readonly options: CrashAnalysisOptions) {
		this.sound = new SoundParts(options.soundMemory, options.maxSoundParts);
	}

	/**
	Records that a request received an event from a backend server, so that all its parts are sound.

	@returns the parts to quarantine now, since progress can break a tie; usually none
	*/
	recordProgress(parts: readonly string[], now: number): readonly Accusation[] {
		for (const part of parts) {
			// A part that is remembered as sound is not held as a suspect.
			if (!this.sound.has(part, now)) {
				for (const crash of this.crashes.values()) {
					crash.clear(part);
				}
			}

			this.sound.add(part, now);
		}

		return this.isTied ? this.accuse(now) : [];
	}

	/** Records that another instance saw progress of parts; has the effect of `recordProgress`. */
	recordVindication(parts: readonly string[], now: number): readonly Accusation[] {
		return this.recordProgress(parts, now);
	}

	/** Returns those of the parts that are remembered as sound, to answer reports of other instances. */
	findSound(parts: readonly string[], now: number): readonly string[] {
		return parts.filter(part => this.sound.has(part, now));
	}

	/** Returns a report without the parts that are remembered as sound, to send it to other instances; undefined if no suspect is left. */
	filterSuspects(report: CrashReport, now: number): CrashReport | undefined {
		const suspects = report.suspects.filter(({part}) => !this.sound.has(part, now));
		return suspects.length === 0 ? undefined : {...report, suspects};
	}

	/**
	Adds what a report says about a crash.

	Inexact times are taken at their worst, requests as sent earlier and the crash as later, so that servers that crash at the same moment never seem to crash one after another.

	@param timeError - milliseconds by which the times of the report may be off in either direction; 0 for own reports
	@returns the parts to quarantine now, usually none
	*/
	recordCrash(report: CrashReport, now: number, timeError = 0): readonly Accusation[] {
		const crashedAt = report.crashedAt + timeError;
		const suspects = this.filterSuspects(report, now)?.suspects.map(({part, sentAt}) => ({part, sentAt: sentAt - timeError}));
		if (!suspects || now - crashedAt > this.options.crashMemory) {
			return [];
		}

		const crash = this.crashes.get(report.incarnationId) ?? new Crash(this.options.maxSuspects);
		this.crashes.set(report.incarnationId, crash);
		crash.merge(crashedAt, suspects);
		if (suspects.some(({part}) => this.accused.has(part))) {
			crash.explain();
		}

		return this.accuse(now);
	}

	/** Records that another instance accused a part, so that it explains the crashes in which it was a suspect. */
	accept(part: string): void {
		this.accused.add(part);
		if (this.accused.size > this.options.maxAccused) {
			const [oldest] = this.accused;
			this.accused.delete(oldest);
		}

		// The part may have caused any crash since its first one, even if the reports that name it are still on their way.
		const crashes = this.sortCrashes();
		const first = crashes.findIndex(({suspects}) => suspects.has(part));
		for (const crash of first === -1 ? [] : crashes.slice(first)) {
			crash.explain();
		}
	}

	/** Gives up an accused part when its quarantine ends; later crashes can make it accused again. */
	release(part: string): void {
		this.accused.delete(part);
	}

	private accuse(now: number): readonly Accusation[] {
		this.removeOld(now);
		const accusations: Accusation[] = [];
		for (let accusation = this.findAccusation(); accusation; accusation = this.findAccusation()) {
			this.accept(accusation.part);
			accusations.push(accusation);
		}

		return accusations;
	}

	private findAccusation(): Accusation | undefined {
		const [first, ...others] = this.findSequences().toSorted((left, right) => right.length - left.length);
		if (!first || first.length < this.options.minCrashes) {
			this.isTied = false;
			return undefined;
		}

		// Other reports of the crashes in the sequence may still be on their way, so a part that is suspected in many crashes outside of a sequence ties too.
		this.isTied = others.some(other => other.length === first.length || other.suspicions >= first.suspicions);
		return this.isTied ? undefined : {part: first.part, crashes: first.length};
	}

	/** Finds the longest sequence of crashes for each suspect. */
	private findSequences(): readonly Sequence[] {
		const sequences = new Map<string, Sequence>();
		// The sequence that takes the earliest possible crash each time is the longest.
		for (const {crashedAt, suspects} of this.sortCrashes()) {
			for (const [part, sentAt] of suspects) {
				const sequence = sequences.get(part) ?? {
					part, length: 0, endsAt: Number.NEGATIVE_INFINITY, suspicions: 0,
				};
				sequences.set(part, sequence);
				sequence.suspicions++;
				if (sentAt >= sequence.endsAt) {
					sequence.length++;
					sequence.endsAt = crashedAt;
				}
			}
		}

		return [...sequences.values()];
	}

	private sortCrashes(): readonly Crash[] {
		return [...this.crashes.values()].toSorted((left, right) => left.crashedAt - right.crashedAt);
	}

	private removeOld(now: number): void {
		const kept = new Set(this.sortCrashes()
			.filter(({crashedAt}) => now - crashedAt <= this.options.crashMemory)
			.slice(-this.options.maxCrashes));
		for (const [incarnationId, crash] of this.crashes) {
			if (!kept.has(crash)) {
				this.crashes.delete(incarnationId);
			}
		}
	}
}
