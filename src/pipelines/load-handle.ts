/** The load of one request on the servers of its pipeline. After the release nothing has an effect. */
export type LoadHandle = {
	/** Changes the tokens that the request is expected to hold. */
	update(tokens: number): void;
	/** Records the end of the request. */
	release(): void;
};
