/** Why an answer ended. */
export enum FinishReason {
	/** The model ended it. */
	Stop = 'stop',
	/** It reached the most tokens that the caller asked for. */
	Length = 'length',
}
