/** A call of an operation of a plain service. */
export type PlainCall = {
	readonly request: string;
	readonly operation: string;
	readonly body: string;
	/** The caller's Idempotency-Key; empty where there is none. */
	readonly key: string;
	readonly headers: Readonly<Record<string, string>>;
};
