/** How far a reply got whose connection ended before the last byte of it was handed to the system. */
export enum ReplyLoss {
	/** Nothing of it was written. */
	Unanswered = 'unanswered',
	/** It was begun and not completed. */
	Cut = 'cut',
	/** It was completed, but not all of its bytes were handed to the system. */
	Unsent = 'unsent',
}
