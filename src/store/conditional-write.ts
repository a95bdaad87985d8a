/** A conditional write: it takes effect only if the row still has the expected version. */
export type ConditionalWrite = {
	readonly key: string;
	/** The version that the row must have; 0 where it must not exist. */
	readonly expected: number;
	/** JSON text. */
	readonly value: string;
};
