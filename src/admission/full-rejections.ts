type Rate = {
	/** Decayed number of attempts sent. */
	sent: number;
	/** Decayed number of those that a full stage rejected. */
	rejected: number;
	/** Monotonic time in milliseconds. */
	updatedAt: number;
};

/** Time constant with which attempts are forgotten. Streams end within seconds, so a full stage regains room sooner. */
const memoryMs = 400;
/** Attempts that are assumed to have been accepted, so that a single rejection does not hold a retry back. */
const assumedAccepted = 4;
/** Fraction of rejected attempts above which another full stage counts as likely. */
const likelyFraction = 0.2;
const maxServices = 64;

/** Estimates from the latest attempts of this instance whether a further one would reach a full stage. */
export class FullRejections {
	private readonly rates = new Map<string, Rate>();

	/** Records that an attempt was sent. */
	recordSent(service: string, now: number): void {
		this.update(service, now).sent++;
	}

	/** Records that a full stage rejected an attempt. */
	recordRejected(service: string, now: number): void {
		this.update(service, now).rejected++;
	}

	/** Returns the estimated fraction of attempts that are rejected now. */
	getFraction(service: string, now: number): number {
		const {sent, rejected} = this.update(service, now);
		return rejected / (Math.max(sent, rejected) + assumedAccepted);
	}

	/** Whether a retry is likely to be rejected by another full stage. */
	isLikely(service: string, now: number): boolean {
		return this.getFraction(service, now) > likelyFraction;
	}

	private update(service: string, now: number): Rate {
		const rate = this.rates.get(service) ?? {sent: 0, rejected: 0, updatedAt: now};
		const decay = Math.exp(-Math.max(0, now - rate.updatedAt) / memoryMs);
		rate.sent *= decay;
		rate.rejected *= decay;
		rate.updatedAt = now;
		if (!this.rates.has(service) && this.rates.size >= maxServices) {
			this.rates.delete(this.rates.keys().next().value!);
		}

		this.rates.set(service, rate);
		return rate;
	}
}
