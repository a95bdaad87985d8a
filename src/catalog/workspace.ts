/** A paying team and the keys that its callers send. */
export type Workspace = {
	readonly name: string;
	readonly keys: readonly string[];
	/** 0 is the most urgent; undefined where the route's priority holds. */
	readonly priority?: number;
};
