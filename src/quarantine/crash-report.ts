/** A prompt part or request that may have crashed a backend server. */
export type CrashSuspect = {
	readonly part: string;
	/** Monotonic time in milliseconds at which the latest request with the part was sent to the server without having received any event. */
	readonly sentAt: number;
};

/** What one instance knows about the crash of a backend server. */
export type CrashReport = {
	readonly incarnationId: string;
	/** Monotonic time in milliseconds; not before the crash, but possibly later. */
	readonly crashedAt: number;
	readonly suspects: readonly CrashSuspect[];
};
