/** A probe to send. */
export type Probe = {
	readonly target: string;
	/** Ids of the members that should probe the target on behalf of this instance; empty for a direct probe. */
	readonly helpers: readonly string[];
};
