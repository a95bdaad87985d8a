import {type RegisteredInstance} from '../entry/instance-registry.js';
import {type RandomSource} from '../routing/random-source.js';

/** How many instances are contacted at a time. */
export type Fanout = {
	/** Instances of the own availability zone. */
	readonly near: number;
	/** Instances of other availability zones. */
	readonly far: number;
};

/** Time for which an instance that did not answer is not contacted, in milliseconds. */
const failurePauseMs = 2500;

function takeRandom<Value>(values: readonly Value[], count: number, random: RandomSource): readonly Value[] {
	const rest = [...values];
	const taken: Value[] = [];
	while (taken.length < count && rest.length > 0) {
		taken.push(...rest.splice(random.nextInteger(rest.length), 1));
	}

	return taken;
}

/** Selects the instances to exchange messages with. Their number does not depend on the number of instances. */
export class PartnerSelector {
	private readonly failedAt = new Map<string, number>();

	constructor(private readonly self: RegisteredInstance, private readonly random: RandomSource) {}

	/** Records that an instance did not answer. */
	recordFailure(id: string, now: number): void {
		this.failedAt.set(id, now);
	}

	/** Records that an instance answered or sent a message. */
	recordContact(id: string): void {
		this.failedAt.delete(id);
	}

	/** Whether the instance answered when it was last contacted, or that was long ago. */
	isResponsive(id: string, now: number): boolean {
		return now - (this.failedAt.get(id) ?? Number.NEGATIVE_INFINITY) >= failurePauseMs;
	}

	/** Selects random responsive instances. */
	select(instances: readonly RegisteredInstance[], {near, far}: Fanout, now: number): readonly RegisteredInstance[] {
		const others = instances.filter(({id}) => id !== this.self.id && this.isResponsive(id, now));
		const neighbours = others.filter(({availabilityZone}) => availabilityZone === this.self.availabilityZone);
		const remote = others.filter(({availabilityZone}) => availabilityZone !== this.self.availabilityZone);
		return [...takeRandom(neighbours, near, this.random), ...takeRandom(remote, far, this.random)];
	}
}
