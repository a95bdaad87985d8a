import {type TimerHandle} from '../time/timer-handle.js';
import {type StartOutcome} from './start-outcome.js';

/** A request to queue. */
export type QueuedRequest = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Monotonic time in milliseconds at which the request arrived at this instance. */
	readonly arrivedAt: number;
	/** Capacity that the request needs, in tokens. */
	readonly tokens: number;
	/** Name of the service; empty where undefined. */
	readonly service?: string;
	/** The workspace of the caller; undefined if it has none. */
	readonly workspace?: string;
	/** Whether the request may fill what is reserved for more urgent ones; false where undefined. */
	readonly mayUseReserve?: boolean;
	/** Monotonic time in milliseconds until which the request can be sent and still be answered on time. */
	readonly onTimeDeadline: number;
	/** Monotonic time in milliseconds at which the request leaves the queue. */
	readonly queueDeadline: number;
	/** Whether a more urgent request waits at another instance. */
	readonly isMoreUrgentElsewhere?: () => boolean;
	/** Tries to start the request. One that is entitled to the next start leaves nothing to more urgent requests. */
	readonly tryStart: (isEntitled: boolean) => StartOutcome;
	/** Keeps capacity that becomes free from other requests; absent if the request is small enough to find some without that. The handle gives it back. */
	readonly reserve?: () => TimerHandle;
	/** Called when the request is removed because it can't start before its queue deadline, with the milliseconds that the requests ahead and itself need; absent if it waits in any case. */
	readonly onHopeless?: (waitMs: number) => void;
	/** Called when the request reaches its queue deadline. */
	readonly onTimeout: () => void;
};
