/** Identifies a rumor among those of all instances. */
export type RumorHeader = {
	/** Id of the instance that started the rumor. */
	readonly origin: string;
	/** Counts the rumors of the origin since it started. */
	readonly number: number;
	/** Start of the origin's process as Unix time in milliseconds. */
	readonly epoch: number;
	/** Milliseconds since the rumor started. */
	readonly age: number;
};

type HeldRumor<Rumor> = {
	readonly rumor: Rumor;
	/** Monotonic time in milliseconds. */
	readonly startedAt: number;
	/** Whether it is passed on; otherwise it is only recognized. */
	readonly isPassedOn: boolean;
};

/** Rumors that one message carries at most. */
const maxRumorsInMessage = 32;

function getKey({origin, epoch, number}: RumorHeader): string {
	return `${origin}/${epoch}/${number}`;
}

/** Holds the rumors that are passed on to other instances, and recognizes those that were already received. */
export class RumorBuffer<Rumor extends RumorHeader> {
	private readonly held = new Map<string, HeldRumor<Rumor>>();

	/**
	@param lifetime - milliseconds after its start for which a rumor is passed on
	@param memory - milliseconds after its start for which a rumor is recognized; longer than any message takes
	*/
	constructor(private readonly lifetime: number, private readonly memory: number) {}

	/** Adds rumors; returns those that were not known and are not too old. */
	add(rumors: readonly Rumor[], now: number): readonly Rumor[] {
		return rumors.filter(rumor => this.hold(rumor, true, now));
	}

	/** Recognizes a rumor from now on without passing it on. Has no effect on one that is known. */
	ignore(rumor: Rumor, now: number): void {
		this.hold(rumor, false, now);
	}

	/** Returns the newest rumors to pass on. */
	getCurrent(now: number): readonly Rumor[] {
		this.removeOld(now);
		return [...this.held.values()]
			.filter(({startedAt, isPassedOn}) => isPassedOn && now - startedAt <= this.lifetime)
			.slice(-maxRumorsInMessage)
			.map(({rumor, startedAt}) => ({...rumor, age: Math.round(now - startedAt)}));
	}

	/** Returns whether the rumor was not known and is not too old. */
	private hold(rumor: Rumor, isPassedOn: boolean, now: number): boolean {
		this.removeOld(now);
		if (this.held.has(getKey(rumor)) || rumor.age > this.lifetime) {
			return false;
		}

		this.held.set(getKey(rumor), {rumor, startedAt: now - rumor.age, isPassedOn});
		return true;
	}

	private removeOld(now: number): void {
		for (const [key, {startedAt}] of this.held) {
			if (now - startedAt > this.memory) {
				this.held.delete(key);
			}
		}
	}
}
