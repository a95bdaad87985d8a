/** An attempt whose connection was lost before any event arrived. */
export type LostAttempt = {
	/** Incarnation id of the backend server. */
	readonly incarnationId: string;
	/** Ids of the shared parts of the prompt. */
	readonly parts: readonly string[];
	/** Monotonic time in milliseconds. */
	readonly sentAt: number;
};
