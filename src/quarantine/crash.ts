import {type CrashSuspect} from './crash-report.js';

/** The crash of a backend server, as known from the reports of all instances. */
export class Crash {
	/** Monotonic time in milliseconds; not before the crash, but possibly later. */
	private time = Number.POSITIVE_INFINITY;
	/** Monotonic times in milliseconds at which the latest request with each part was sent. */
	private sentAt = new Map<string, number>();
	private hasCause = false;

	/**
	@param maxSuspects - number of suspects that are held; those whose requests were sent last are kept
	*/
	constructor(private readonly maxSuspects: number) {}

	get crashedAt(): number {
		return this.time;
	}

	/** The suspected parts with the times at which their latest requests were sent; none if the crash is explained. */
	get suspects(): ReadonlyMap<string, number> {
		return this.sentAt;
	}

	/** Adds what one report says. Nothing is suspected any more if the crash is explained. */
	merge(crashedAt: number, suspects: readonly CrashSuspect[]): void {
		this.time = Math.min(this.time, crashedAt);
		if (this.hasCause) {
			return;
		}

		for (const {part, sentAt} of suspects) {
			this.sentAt.set(part, Math.max(sentAt, this.sentAt.get(part) ?? sentAt));
		}

		// A request that was sent after the crash did not cause it.
		const held = [...this.sentAt].filter(([, sentAt]) => sentAt < this.time);
		this.sentAt = new Map(held.length <= this.maxSuspects ? held : held.toSorted(([, left], [, right]) => right - left).slice(0, this.maxSuspects));
	}

	/** Removes a suspect. */
	clear(part: string): void {
		this.sentAt.delete(part);
	}

	/** Records that a part that was found to be a cause explains the crash, which clears all suspects, also those of later reports. */
	explain(): void {
		this.hasCause = true;
		this.sentAt.clear();
	}
}
