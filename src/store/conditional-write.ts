/** A write that takes effect only if the row still has the expected version. */
export type ConditionalWrite = {
	readonly key: string;
	/** The version that the row must have; 0 if the row must not exist. */
	readonly expected: number;
	/** JSON text. */
	readonly value: string;
};
