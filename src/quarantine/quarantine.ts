/** A prompt part whose requests are refused, or a request that is. */
export type QuarantinedPart = {
	readonly part: string;
	/** Monotonic time in milliseconds. */
	readonly expiresAt: number;
};

/** Holds the prompt parts and requests that are refused. */
export class Quarantine {
	private readonly expiries = new Map<string, number>();
	/** Parts dropped since `removeExpired` was last called. */
	private readonly dropped = new Set<string>();

	/**
	@param maxParts - number of parts that are held; the one that expires first is dropped
	*/
	constructor(private readonly maxParts: number) {}

	/**
	Adds a part or extends its quarantine.

	@param expiresAt - monotonic time in milliseconds; an earlier one than the known one has no effect
	@returns whether the part was not quarantined before
	*/
	add(part: string, expiresAt: number): boolean {
		const known = this.expiries.get(part);
		this.expiries.set(part, Math.max(expiresAt, known ?? expiresAt));
		this.dropped.delete(part);
		if (this.expiries.size > this.maxParts) {
			this.drop(this.all().toSorted((left, right) => left.expiresAt - right.expiresAt)[0].part);
		}

		return known === undefined;
	}

	/** Whether the part is quarantined, or its quarantine was not removed yet. */
	has(part: string): boolean {
		return this.expiries.has(part);
	}

	/** Returns the first of the parts that is quarantined, or undefined. */
	findQuarantined(parts: readonly string[], now: number): QuarantinedPart | undefined {
		for (const part of parts) {
			const expiresAt = this.expiries.get(part);
			if (expiresAt !== undefined && expiresAt > now) {
				return {part, expiresAt};
			}
		}

		return undefined;
	}

	/** Removes the parts whose quarantine is over; returns them and those that were dropped since the last call. */
	removeExpired(now: number): readonly string[] {
		const expired = this.all().filter(({expiresAt}) => expiresAt <= now).map(({part}) => part);
		for (const part of expired) {
			this.expiries.delete(part);
		}

		const released = [...this.dropped, ...expired];
		this.dropped.clear();
		return released;
	}

	/** Returns all parts that were not removed yet, in the order in which they were added. */
	all(): readonly QuarantinedPart[] {
		return [...this.expiries].map(([part, expiresAt]) => ({part, expiresAt}));
	}

	private drop(part: string): void {
		this.expiries.delete(part);
		this.dropped.add(part);
		if (this.dropped.size > this.maxParts) {
			const [oldest] = this.dropped;
			this.dropped.delete(oldest);
		}
	}
}
