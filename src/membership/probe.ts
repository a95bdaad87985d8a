/** A probe that is to be sent. */
export type Probe = {
	readonly target: string;
	/** Members that are asked to probe the target; empty for a direct probe. */
	readonly helpers: readonly string[];
};
