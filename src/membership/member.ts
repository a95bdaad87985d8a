import {type MemberState} from './member-state.js';

/** An entry instance as another sees it. */
export type Member = {
	readonly id: string;
	address: string;
	state: MemberState;
	incarnation: number;
	/** Monotonic time in milliseconds since which it has this state. */
	since: number;
	/** Monotonic time in milliseconds at which the last probe that it answered was sent; -Infinity before that. */
	lastAcknowledgedAt: number;
};
