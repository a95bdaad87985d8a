/** Why a request is refused although it is within the limits of the configuration. */
export enum RequestRefusal {
	/** Nothing of it has arrived for a long time. */
	Stalled = 'stalled',
	/** A body that arrives slowly while memory is short. */
	Slow = 'slow',
	/** The largest of those that are being received while memory is short. */
	Memory = 'memory',
	/** Like others at the time it arrives in many small pieces, each of which takes processing time. */
	Pieces = 'pieces',
}
