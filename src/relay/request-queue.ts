import {type TimerHandle} from '../time/timer-handle.js';
import {type TimerService} from '../time/timer-service.js';

/** A request to queue. */
export type QueuedRequest = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Monotonic time in milliseconds until which the request can be sent and still be answered on time. */
	readonly onTimeDeadline: number;
	/** Monotonic time in milliseconds at which the request leaves the queue. */
	readonly queueDeadline: number;
	/** Tries to start the request; returns false if there is still no capacity for it. */
	readonly tryStart: () => boolean;
	/** Called when the request reaches its queue deadline. */
	readonly onTimeout: () => void;
};

type Entry = {
	readonly request: QueuedRequest;
	readonly sequence: number;
	readonly timeout: TimerHandle;
};

/** Limits of a request queue. */
export type RequestQueueLimits = {
	/** Maximum number of queued requests. */
	readonly capacity: number;
	/** Milliseconds between attempts to start queued requests. */
	readonly dispatchInterval: number;
};

/**
Queues requests while no pipeline has capacity for them. Requests start in order of priority; within a priority, those that can still be answered on time start first, in order of arrival, and then the others.

Under overload a plain FIFO queue would make every answer late (B. Maurer, "Fail at scale", ACM Queue, 2015).
*/
export class RequestQueue {
	private readonly entries: Entry[] = [];
	private nextSequence = 0;
	private ticker?: TimerHandle;

	constructor(private readonly timers: TimerService, private readonly limits: RequestQueueLimits) {}

	/** Number of queued requests. */
	get size(): number {
		return this.entries.length;
	}

	/**
	Adds a request to the queue.

	@returns a handle that removes the request from the queue, or undefined if the queue is full
	*/
	enqueue(request: QueuedRequest): TimerHandle | undefined {
		if (this.entries.length >= this.limits.capacity) {
			return undefined;
		}

		const timeout = this.timers.after(Math.max(0, request.queueDeadline - this.timers.now()), () => {
			if (this.remove(entry)) {
				request.onTimeout();
			}
		});
		const entry: Entry = {request, sequence: this.nextSequence++, timeout};
		this.entries.push(entry);
		this.entries.sort((left, right) => (left.request.priority - right.request.priority) || (left.sequence - right.sequence));
		this.ticker ??= this.timers.repeat(this.limits.dispatchInterval, () => {
			this.dispatchReady();
		});
		return {
			cancel: () => {
				this.remove(entry);
			},
		};
	}

	/** Starts queued requests until one of them finds no capacity. */
	dispatchReady(): void {
		while (this.entries.length > 0) {
			const next = this.findNext();
			if (!next.request.tryStart()) {
				return;
			}

			this.remove(next);
		}
	}

	private findNext(): Entry {
		const now = this.timers.now();
		const [{request: {priority}}] = this.entries;
		const onTime = this.entries.find(({request}) => request.priority === priority && request.onTimeDeadline >= now);
		return onTime ?? this.entries[0];
	}

	private remove(entry: Entry): boolean {
		const index = this.entries.indexOf(entry);
		if (index === -1) {
			return false;
		}

		this.entries.splice(index, 1);
		entry.timeout.cancel();
		if (this.entries.length === 0) {
			this.ticker?.cancel();
			this.ticker = undefined;
		}

		return true;
	}
}
