import {type Lease} from '../leases/lease.js';
import {type GossipMessage} from './gossip-message.js';

type HolderSign = {
	/** 0 if no holder is known. */
	readonly fencing: number;
	/** Monotonic time in milliseconds. */
	readonly seenAt: number;
};

/** The newest sign of the holder of the placement lease, which instances pass on among each other. */
export class PlacementHolder {
	private newestSign: HolderSign = {fencing: 0, seenAt: Number.NEGATIVE_INFINITY};

	/**
	@param lease - this instance's own view of the placement lease
	*/
	constructor(private readonly lease: Lease) {}

	/** Monotonic time in milliseconds of the newest known sign of another holder; -Infinity before the first one. */
	get heardAt(): number {
		return this.newestSign.seenAt;
	}

	/** Whether this instance holds the lease itself. */
	isSelf(now: number): boolean {
		return this.lease.isHeld(now);
	}

	/** Describes the newest sign for other instances; undefined if no holder is known. */
	describe(now: number): GossipMessage['placing'] {
		if (this.lease.isHeld(now)) {
			return {fencing: this.lease.fencing, age: 0};
		}

		const {fencing, seenAt} = this.newestSign;
		return fencing > 0 ? {fencing, age: Math.round(now - seenAt)} : undefined;
	}

	/** Applies a sign that another instance sent. */
	receive(sign: HolderSign): void {
		if (sign.seenAt > this.newestSign.seenAt) {
			this.newestSign = sign;
		}

		this.lease.observeOtherHolder(sign.fencing);
	}
}
