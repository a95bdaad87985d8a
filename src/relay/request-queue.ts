import {type TimerHandle} from '../time/timer-handle.js';
import {type TimerService} from '../time/timer-service.js';

/** A request that waits for a place. */
export type QueuedRequest = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Monotonic time until which an answer that begins now would be on time. */
	readonly onTimeDeadline: number;
	/** Monotonic time until which it waits at most. */
	readonly queueDeadline: number;
	/** Tries to start the request; false where there is still no place. */
	readonly tryStart: () => boolean;
	/** The request has waited for as long as it may. */
	readonly onTimeout: () => void;
};

type Entry = {
	readonly request: QueuedRequest;
	readonly order: number;
	readonly timeout: TimerHandle;
};

/** Limits of waiting. */
export type RequestQueueLimits = {
	/** Requests that wait at most. */
	readonly capacity: number;
	/** Milliseconds between attempts to start those that wait. */
	readonly dispatchInterval: number;
};

/**
Holds requests for which no pipeline has room. The most urgent go first; of these, those that can still be answered on time, in the order of their arrival, then the others.

Under overload a queue in the mere order of arrival would make all answers late (B. Maurer, "Fail at scale", ACM Queue, 2015).
*/
export class RequestQueue {
	private readonly entries: Entry[] = [];
	private nextOrder = 0;
	private ticker?: TimerHandle;

	constructor(private readonly timers: TimerService, private readonly limits: RequestQueueLimits) {}

	/** Requests that wait. */
	get size(): number {
		return this.entries.length;
	}

	/**
	Lets a request wait.

	@returns a subscription that takes it out, or undefined where all places are taken
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
		const entry: Entry = {request, order: this.nextOrder++, timeout};
		this.entries.push(entry);
		this.entries.sort((left, right) => (left.request.priority - right.request.priority) || (left.order - right.order));
		this.ticker ??= this.timers.repeat(this.limits.dispatchInterval, () => {
			this.dispatchReady();
		});
		return {
			cancel: () => {
				this.remove(entry);
			},
		};
	}

	/** Starts those that find a place now. */
	dispatchReady(): void {
		while (this.entries.length > 0) {
			const first = this.next();
			if (!first.request.tryStart()) {
				return;
			}

			this.remove(first);
		}
	}

	private next(): Entry {
		const now = this.timers.now();
		const [{request: {priority}}] = this.entries;
		const onTime = this.entries.find(({request}) => request.priority === priority && request.onTimeDeadline >= now);
		return onTime ?? this.entries[0];
	}

	private remove(entry: Entry): boolean {
		const at = this.entries.indexOf(entry);
		if (at === -1) {
			return false;
		}

		this.entries.splice(at, 1);
		entry.timeout.cancel();
		if (this.entries.length === 0) {
			this.ticker?.cancel();
			this.ticker = undefined;
		}

		return true;
	}
}
