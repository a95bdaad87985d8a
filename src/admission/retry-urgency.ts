/** How much a caller loses if a retry is denied. */
export enum RetryUrgency {
	/** The caller has received a part of the reply, which can't be refused any more: without a retry it is cut. */
	Begun = 'begun',
	/** The caller has received nothing, or another attempt is in progress. */
	Ordinary = 'ordinary',
}
