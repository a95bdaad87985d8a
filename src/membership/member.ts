import {type MemberState} from './member-state.js';

/** An entry instance in the view of another. */
export type Member = {
	readonly id: string;
	address: string;
	state: MemberState;
	incarnation: number;
	/** Monotonic time in milliseconds at which it entered this state. */
	since: number;
	/** Monotonic time in milliseconds at which the last probe that it answered was sent; -Infinity if it has answered none. */
	lastAcknowledgedAt: number;
};
