import {type RelayRequest} from '../relay-request.js';
import {type StreamLimits} from './stream-exchange-dependencies.js';
import {type StreamProgress} from './stream-progress.js';

/** How long a stream may wait for a pipeline. Monotonic times in milliseconds. */
export type StreamDeadlines = {
	/** Latest time at which the request can be sent for its answer to be on time. */
	readonly onTimeDeadline: number;
	/** Latest time until which the request waits in the queue. */
	readonly queueDeadline: number;
};

/**
Computes how long a stream may wait for a pipeline. Both deadlines count from the stream's arrival or its last event, not from the start of a wait, since it may wait several times.

@param mayHaveExecuted - whether the request may have been executed; otherwise it is refused early enough for its caller to retry it
*/
export function computeStreamDeadlines(request: RelayRequest, progress: StreamProgress, mayHaveExecuted: boolean, limits: StreamLimits): StreamDeadlines {
	const {route, arrivedAt} = request;
	return {
		onTimeDeadline: progress.hasDelivered ? Number.POSITIVE_INFINITY : arrivedAt + (route.latencyTarget * limits.onTimeFraction),
		queueDeadline: mayHaveExecuted ? progress.lastDeliveredAt + (route.callerIdleTimeout * limits.resumeWaitFraction) : arrivedAt + limits.maxQueueTime,
	};
}
