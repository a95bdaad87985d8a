/** What is known of an answer before it begins. */
export type AnswerRequest = {
	/** Name of the route; its answers are predicted from one another. */
	readonly route: string;
	/** Upper bound on the tokens of the answer. */
	readonly maxAnswerTokens: number;
	/** The caller's estimate of the tokens of the answer; undefined if it sent none. */
	readonly answerEstimate?: number;
	/** Mean tokens of an answer according to the configuration. */
	readonly usualAnswer: number;
};
