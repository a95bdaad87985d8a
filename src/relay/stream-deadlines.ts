import {type RelayRequest} from './relay-request.js';
import {type StreamLimits} from './stream-exchange-dependencies.js';
import {type StreamProgress} from './stream-progress.js';

/** How long a stream may wait for a pipeline. Monotonic times in milliseconds. */
export type StreamDeadlines = {
	/** Until when an answer that begins is on time. */
	readonly onTimeDeadline: number;
	/** Until when it waits at most. */
	readonly queueDeadline: number;
};

/**
How long a stream may wait for a pipeline. Both times count from its arrival or its last event, not from the beginning of a wait, since it may wait several times.

@param hasRun - whether it may have run; else it is refused early enough to be repeated
*/
export function computeStreamDeadlines(request: RelayRequest, progress: StreamProgress, hasRun: boolean, limits: StreamLimits): StreamDeadlines {
	const {route, arrivedAt} = request;
	return {
		onTimeDeadline: progress.hasDelivered ? Number.POSITIVE_INFINITY : arrivedAt + (route.latencyTarget * limits.onTimeFraction),
		queueDeadline: hasRun ? progress.lastDeliveredAt + (route.callerIdleTimeout * limits.resumeWaitFraction) : arrivedAt + limits.maxQueueTime,
	};
}
