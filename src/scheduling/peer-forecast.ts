/** What the reports of other instances tell about a backend server. */
export type PeerForecast = {
	/** Tokens that their requests held when they were last measured. */
	readonly tokens: number;
	/** Tokens per millisecond of the requests that they started. */
	readonly startRate: number;
	/** Tokens per millisecond of the requests that ended. */
	readonly endRate: number;
	/** Mean age of the reports in milliseconds. */
	readonly age: number;
};
