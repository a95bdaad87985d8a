import {type RegisteredInstance} from '../entry/instance-registry.js';
import {type RandomSource} from '../routing/random-source.js';

/** Age from which it counts as unknown whether another instance is partitioned. */
const maxAgeMs = 3000;

/** Which instances say that they reach no backend server. */
export class PeerPaths {
	/** Monotonic times in milliseconds at which instances were last known to be partitioned, by id. */
	private readonly partitionedAt = new Map<string, number>();

	/**
	@param isPartitioned - whether this instance reaches no backend server itself
	*/
	constructor(private readonly isPartitioned: () => boolean) {}

	/** Whether this instance reaches no backend server itself. */
	get isSelfPartitioned(): boolean {
		return this.isPartitioned();
	}

	/** Records what an instance says of itself, or what a request for a tunnel showed. */
	record(id: string, isPartitioned: boolean, now: number): void {
		if (isPartitioned) {
			this.partitionedAt.set(id, now);
		} else {
			this.partitionedAt.delete(id);
		}
	}

	/** Selects random instances that may open a tunnel, without those that are known to be partitioned. */
	select(instances: readonly RegisteredInstance[], count: number, random: RandomSource, now: number): readonly RegisteredInstance[] {
		const candidates = instances.filter(({id}) => !this.isKnownPartitioned(id, now));
		const selected: RegisteredInstance[] = [];
		while (selected.length < count && candidates.length > 0) {
			selected.push(...candidates.splice(random.nextInteger(candidates.length), 1));
		}

		return selected;
	}

	private isKnownPartitioned(id: string, now: number): boolean {
		return now - (this.partitionedAt.get(id) ?? Number.NEGATIVE_INFINITY) <= maxAgeMs;
	}
}
