/** A call to an operation of a plain service. */
export type PlainCall = {
	readonly request: string;
	readonly operation: string;
	readonly body: string;
	/** Value of the caller's Idempotency-Key header; empty if there is none. */
	readonly key: string;
	readonly headers: Readonly<Record<string, string>>;
};
