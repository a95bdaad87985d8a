/** A paying team and the API keys of its callers. */
export type Workspace = {
	readonly name: string;
	readonly keys: readonly string[];
	/** 0 is the most urgent; undefined if the priority of the route applies. */
	readonly priority?: number;
};
