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

/** Fraction of the caller's idle timeout for which a request waits at least, where the latency target leaves less. */
const minWaitFraction = 0.5;

/**
Computes how long a stream may wait for a pipeline. Both deadlines count from the stream's arrival or its last event, not from the start of a wait, since it may wait several times.

@param mayHaveExecuted - whether the request may have been executed; otherwise it is refused early enough for its caller to retry it
*/
export function computeStreamDeadlines(request: RelayRequest, progress: StreamProgress, mayHaveExecuted: boolean, limits: StreamLimits): StreamDeadlines {
	const {route: {latencyTarget, callerIdleTimeout}, arrivedAt, deadline} = request;
	// After the wait there is time for the first event, or for the caller to come back after a refusal.
	const longestWait = Math.min(limits.maxQueueTime, Math.max(callerIdleTimeout * minWaitFraction, callerIdleTimeout - latencyTarget));
	const lastUsefulStart = deadline - (latencyTarget * (1 - limits.onTimeFraction));
	return {
		onTimeDeadline: progress.hasDelivered ? Number.POSITIVE_INFINITY : arrivedAt + (latencyTarget * limits.onTimeFraction),
		queueDeadline: mayHaveExecuted ? progress.lastDeliveredAt + (callerIdleTimeout * limits.resumeWaitFraction) : Math.min(arrivedAt + longestWait, lastUsefulStart),
	};
}
