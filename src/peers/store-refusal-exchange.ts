import {type TimerService} from '../time/timer-service.js';
import {type GossipMessage} from './gossip-message.js';
import {getIdDigest} from './id-digest.js';
import {transitAllowanceMs} from './transit-allowance.js';

type AccessState = {
	/** Rises with each report of the instance. */
	readonly number: number;
	readonly isRefused: boolean;
	/** Monotonic time in milliseconds. */
	readonly reportedAt: number;
};

/** States that a message carries: the newest ones. More instances than this report only where the store refuses nearly all. */
const maxInMessage = 16;

/** Passes on which instances of the own availability zone the store refuses, so that others read it in their place. */
export class StoreRefusalExchange {
	private readonly states = new Map<string, AccessState>();
	private readonly ownDigest: string;

	/**
	@param memory - milliseconds for which a report counts; an instance that still reads is to repeat it earlier
	@param onServed - called when the store serves another instance again
	*/
	constructor(
		private readonly self: {readonly id: string; readonly availabilityZone: string},
		private readonly timers: TimerService,
		private readonly memory: number,
		private readonly onServed: (now: number) => void,
	) {
		this.ownDigest = getIdDigest(self.id);
	}

	/** Records whether the store refuses this instance; returns whether that is news. */
	recordOwn(isRefused: boolean, now: number): boolean {
		const previous = this.states.get(this.ownDigest);
		this.states.set(this.ownDigest, {number: Math.max((previous?.number ?? 0) + 1, Math.round(this.timers.wallClock())), isRefused, reportedAt: now});
		return isRefused !== (previous?.isRefused ?? false);
	}

	/** Returns the states for a message to an instance of the own availability zone. */
	getCurrent(now: number): Pick<GossipMessage, 'storeAccess'> {
		this.removeExpired(now);
		const newest = [...this.states].toSorted(([, left], [, right]) => right.reportedAt - left.reportedAt).slice(0, maxInMessage);
		const storeAccess = newest.map(([instance, {number, isRefused, reportedAt}]) => ({
			instance, number, isRefused, age: Math.round(now - reportedAt),
		}));
		return storeAccess.length === 0 ? {} : {storeAccess};
	}

	/** Applies the states of a message; returns whether one of them is news that is to be passed on. */
	receive({from, storeAccess = []}: Pick<GossipMessage, 'from' | 'storeAccess'>, now: number): boolean {
		if (from.availabilityZone !== this.self.availabilityZone) {
			return false;
		}

		let isNews = false;
		let isServed = false;
		for (const {instance, number, isRefused, age} of storeAccess) {
			const known = this.states.get(instance);
			if (instance !== this.ownDigest && number > (known?.number ?? 0) && age < this.memory) {
				this.states.set(instance, {number, isRefused, reportedAt: now - age - transitAllowanceMs});
				const isChange = isRefused !== (known?.isRefused ?? false);
				isNews ||= isChange;
				isServed ||= isChange && !isRefused;
			}
		}

		if (isServed) {
			this.onServed(now);
		}

		return isNews;
	}

	/** Returns the digests of the ids of the instances of the own availability zone that the store refuses. */
	findRefused(now: number): ReadonlySet<string> {
		this.removeExpired(now);
		return new Set([...this.states].filter(([, {isRefused}]) => isRefused).map(([digest]) => digest));
	}

	private removeExpired(now: number): void {
		for (const [digest, {reportedAt}] of this.states) {
			if (now - reportedAt > this.memory) {
				this.states.delete(digest);
			}
		}
	}
}
