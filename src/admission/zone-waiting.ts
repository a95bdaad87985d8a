/** Queued requests of one service and priority at one instance. */
export type WaitingWork = {
	readonly service: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly requests: number;
	readonly tokens: number;
};

/** What waits at one instance. Services are named by a key that is the same at all instances. */
export type WaitingReport = {
	readonly instance: string;
	/** Monotonic time in milliseconds. */
	readonly measuredAt: number;
	readonly work: readonly WaitingWork[];
};

/** What waits at other instances, and how old the newest report of it is in milliseconds. */
export type WaitingSum = {
	readonly requests: number;
	readonly tokens: number;
	readonly age: number;
};

/** Instances of which reports are kept at most. */
const maxInstances = 1000;

/** The requests that wait at the other instances of the own availability zone. Without reports it names none, so that lost messages make an instance less strict. */
export class ZoneWaiting {
	private readonly reports = new Map<string, WaitingReport>();

	/**
	@param maxAge - milliseconds after which a report is ignored
	@param getServiceKey - returns the key of a service in reports
	*/
	constructor(private readonly maxAge: number, private readonly getServiceKey: (service: string) => string) {}

	/** Stores a report if it is newer than the known one of its instance. */
	update(report: WaitingReport, now: number): void {
		this.removeExpired(now);
		const known = this.reports.get(report.instance);
		const isRoomLeft = known !== undefined || this.reports.size < maxInstances;
		if (isRoomLeft && now - report.measuredAt <= this.maxAge && report.measuredAt > (known?.measuredAt ?? Number.NEGATIVE_INFINITY)) {
			this.reports.set(report.instance, report);
		}
	}

	/** Returns the current reports, the newest first. */
	findCurrent(now: number): readonly WaitingReport[] {
		this.removeExpired(now);
		return [...this.reports.values()].toSorted((left, right) => right.measuredAt - left.measuredAt);
	}

	/** Returns what more urgent requests wait elsewhere; undefined if none is known to. */
	findMoreUrgent(service: string, priority: number, now: number): WaitingSum | undefined {
		const key = this.getServiceKey(service);
		let sum: WaitingSum | undefined;
		for (const {measuredAt, work} of this.reports.values()) {
			const age = Math.max(0, now - measuredAt);
			for (const waiting of age <= this.maxAge ? work : []) {
				if (waiting.service === key && waiting.priority < priority && waiting.requests > 0) {
					sum = {requests: (sum?.requests ?? 0) + waiting.requests, tokens: (sum?.tokens ?? 0) + waiting.tokens, age: Math.min(sum?.age ?? age, age)};
				}
			}
		}

		return sum;
	}

	private removeExpired(now: number): void {
		for (const [instance, {measuredAt}] of this.reports) {
			if (now - measuredAt > this.maxAge) {
				this.reports.delete(instance);
			}
		}
	}
}
