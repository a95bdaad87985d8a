/** Fraction of a caller's patience that is kept back at most. */
const maxMarginFraction = 0.04;
/** Covers the network in both directions, and timers that are late on a busy machine. */
const maxMarginMs = 30;

/**
Returns the time in which a final reply must be sent to be with its caller before the caller gives up.

@param patience - milliseconds for which the caller waits for the reply
@returns milliseconds, at most the patience
*/
export function deductReplyMargin(patience: number): number {
	return patience - Math.min(patience * maxMarginFraction, maxMarginMs);
}
