/** A prompt part that may have crashed a backend server. */
export type CrashSuspect = {
	/** Id of the part. */
	readonly part: string;
	/** Monotonic time in milliseconds at which the latest request with the part was sent to the crashed server. */
	readonly sentAt: number;
};

/** A crash of a backend server that an instance saw. */
export type CrashReport = {
	/** Incarnation id of the crashed server. */
	readonly incarnationId: string;
	/** Monotonic time in milliseconds. */
	readonly crashedAt: number;
	readonly suspects: readonly CrashSuspect[];
};
