import {deductReplyMargin} from '../time/reply-margin.js';

/**
Computes by when the final reply to a request is to be sent: at the route's timeout exactly, or somewhat before the caller gives up.

@param arrivedAt - monotonic time in milliseconds
@param routeTimeout - milliseconds
@param patience - milliseconds for which the caller waits for the reply; undefined if it did not say
@returns monotonic time in milliseconds
*/
export function computeDeadline(arrivedAt: number, routeTimeout: number, patience = Number.POSITIVE_INFINITY): number {
	return arrivedAt + Math.min(routeTimeout, patience === Number.POSITIVE_INFINITY ? patience : deductReplyMargin(patience));
}
