/** Time limits of work that makes progress in parts, in milliseconds. */
export type ProgressTimeouts = {
	/** Until the first part. */
	readonly start: number;
	/** Between two parts. */
	readonly pause: number;
	/** From the start to the end, however much progress there is. */
	readonly total: number;
};
