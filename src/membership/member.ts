import {type MemberState} from './member-state.js';

/** An entry instance as another sees it. */
export type Member = {
	readonly id: string;
	address: string;
	state: MemberState;
	incarnation: number;
	/** Monotonic time in milliseconds since which it has this state. */
	since: number;
	/** Monotonic time in milliseconds at which it last answered or called; -Infinity before that. */
	heardAt: number;
};
