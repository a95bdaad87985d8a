/** Why an answer ended. */
export enum FinishReason {
	/** The model ended the answer. */
	Stop = 'stop',
	/** The answer reached the maximum number of tokens requested by the caller. */
	Length = 'length',
}
