import {Crash} from './crash.js';

/** Bounds of a crash history. */
export type CrashHistoryOptions = {
	/** Milliseconds for which a crash is held. */
	readonly crashMemory: number;
	/** Number of crashes that are held. */
	readonly maxCrashes: number;
	/** Number of suspects that are held of each crash. */
	readonly maxSuspects: number;
};

/** Holds the latest crashes of backend servers. Times are monotonic milliseconds. */
export class CrashHistory {
	/** By incarnation id. */
	private readonly crashes = new Map<string, Crash>();

	constructor(private readonly options: CrashHistoryOptions) {}

	/** Whether a crash at that time is too old to be held. */
	isOutdated(crashedAt: number, now: number): boolean {
		return now - crashedAt > this.options.crashMemory;
	}

	/** Returns the crash of an incarnation, which is new if nothing was known of it. */
	getOrCreate(incarnationId: string): Crash {
		const crash = this.crashes.get(incarnationId) ?? new Crash(this.options.maxSuspects);
		this.crashes.set(incarnationId, crash);
		return crash;
	}

	/** Returns all crashes in no particular order, by incarnation id. */
	all(): ReadonlyMap<string, Crash> {
		return this.crashes;
	}

	/** Returns the crashes in the order of their times. */
	listInOrder(): ReadonlyArray<readonly [incarnationId: string, crash: Crash]> {
		return [...this.crashes].toSorted(([, left], [, right]) => left.crashedAt - right.crashedAt);
	}

	/** Drops the crashes that are too old or too many. */
	removeOld(now: number): void {
		const kept = new Set(this.listInOrder()
			.filter(([, {crashedAt}]) => !this.isOutdated(crashedAt, now))
			.slice(-this.options.maxCrashes)
			.map(([incarnationId]) => incarnationId));
		for (const incarnationId of this.crashes.keys()) {
			if (!kept.has(incarnationId)) {
				this.crashes.delete(incarnationId);
			}
		}
	}
}
