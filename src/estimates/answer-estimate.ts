/** A predicted number of tokens. */
export type AnswerEstimate = {
	/** Mean. The sum of many estimates is close to the sum of the actual numbers, which a median would fall short of. */
	readonly tokens: number;
	/** Mean absolute error that is expected, in tokens. */
	readonly error: number;
};
