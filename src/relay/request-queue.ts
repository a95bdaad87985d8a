import {DrainRate} from '../admission/drain-rate.js';
import {type TimerHandle} from '../time/timer-handle.js';
import {type TimerService} from '../time/timer-service.js';
import {StartOutcome} from './start-outcome.js';

/** A request to queue. */
export type QueuedRequest = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Monotonic time in milliseconds at which the request arrived at this instance. */
	readonly arrivedAt: number;
	/** Capacity that the request needs, in tokens. */
	readonly tokens: number;
	/** The workspace of the caller; undefined if it has none. */
	readonly workspace?: string;
	/** Whether the request may fill what is reserved for more urgent ones; false where undefined. */
	readonly mayUseReserve?: boolean;
	/** Monotonic time in milliseconds until which the request can be sent and still be answered on time. */
	readonly onTimeDeadline: number;
	/** Monotonic time in milliseconds at which the request leaves the queue. */
	readonly queueDeadline: number;
	/** Tries to start the request. */
	readonly tryStart: () => StartOutcome;
	/** Keeps capacity that becomes free from other requests; absent if the request is small enough to find some without that. The handle gives it back. */
	readonly reserve?: () => TimerHandle;
	/** Called when the request is removed because it can't start before its queue deadline, with the milliseconds that the requests ahead and itself need; absent if it waits in any case. */
	readonly onHopeless?: (waitMs: number) => void;
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

/** Multiple of the time that is left above which a predicted wait refuses a request; the prediction rests on few starts. */
const hopelessFactor = 1.5;

/**
Queues requests while no pipeline has capacity for them. Requests start in order of priority; within a priority, those that can still be answered on time start first, in order of arrival, and then the others.

Under overload a plain FIFO queue would make every answer late (B. Maurer, "Fail at scale", ACM Queue, 2015).

The first large request that finds no capacity reserves what becomes free; requests behind it start if there is capacity beside the reservation. Without it, smaller requests would keep a large one waiting for good (EASY backfilling; D. Lifka, "The ANL/IBM SP scheduling system", JSSPP 1995).
*/
export class RequestQueue {
	private readonly entries: Entry[] = [];
	private nextSequence = 0;
	private readonly drainRate = new DrainRate();
	private ticker?: TimerHandle;
	private reservation?: {readonly entry: Entry; readonly handle: TimerHandle};

	constructor(private readonly timers: TimerService, private readonly limits: RequestQueueLimits) {}

	/** Number of queued requests. */
	get size(): number {
		return this.entries.length;
	}

	/** Whether a request of this priority that arrives now would have to wait behind others. */
	hasWaiting(priority: number): boolean {
		return this.entries.some(({request}) => request.priority <= priority);
	}

	/** Returns the milliseconds until a request that arrives now would start; undefined if that can't be predicted. */
	predictWait(priority: number, tokens: number): number | undefined {
		let ahead = tokens;
		for (const {request} of this.entries) {
			ahead += request.priority <= priority ? request.tokens : 0;
		}

		return this.drainRate.predictWait(ahead, this.timers.now());
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
		this.drainRate.setWaiting(true, this.timers.now());
		this.ticker ??= this.timers.repeat(this.limits.dispatchInterval, () => {
			this.dispatchReady();
		});
		return {
			cancel: () => {
				this.remove(entry);
			},
		};
	}

	/** Starts all queued requests that find capacity. */
	dispatchReady(): void {
		this.startReserved();
		// What is too little for a request is too little for a larger one.
		let smallestFailed = Number.POSITIVE_INFINITY;
		let smallestFailedBesideReserve = Number.POSITIVE_INFINITY;
		for (const entry of this.sortEntries()) {
			const {tokens, mayUseReserve} = entry.request;
			const isCandidate = entry !== this.reservation?.entry && tokens < smallestFailed && (mayUseReserve === true || tokens < smallestFailedBesideReserve);
			const outcome = isCandidate && this.entries.includes(entry) ? this.tryStart(entry) : undefined;
			if (outcome === StartOutcome.NoCapacity) {
				smallestFailed = tokens;
			} else if (outcome === StartOutcome.CapacityReserved) {
				smallestFailedBesideReserve = tokens;
			}

			if (outcome !== undefined) {
				this.reserveAfter(outcome, entry);
			}
		}

		this.refuseHopeless();
	}

	/** Removes the requests that can't start in time, because those ahead of them need too long. */
	private refuseHopeless(): void {
		const now = this.timers.now();
		let ahead = 0;
		for (const entry of this.sortEntries()) {
			const {tokens, queueDeadline, onHopeless, reserve} = entry.request;
			if (reserve) {
				// A large request starts with a reservation and smaller ones beside it, so neither waits for the other.
				continue;
			}

			const wait = ahead > 0 ? this.drainRate.predictWait(ahead + tokens, now) : undefined;
			if (onHopeless && wait !== undefined && wait > (queueDeadline - now) * hopelessFactor && this.remove(entry)) {
				onHopeless(wait);
			} else {
				ahead += tokens;
			}
		}
	}

	/** Starts the request with the reservation if it has become large enough. */
	private startReserved(): void {
		const entry = this.reservation?.entry;
		if (entry) {
			this.reserveAfter(this.tryStart(entry), entry);
		}
	}

	/** Reserves capacity for a request that could not start for lack of it. */
	private reserveAfter(outcome: StartOutcome, entry: Entry): void {
		const isLacking = outcome === StartOutcome.NoCapacity || outcome === StartOutcome.CapacityReserved || outcome === StartOutcome.CapacityUnlikely;
		if (isLacking && this.entries.includes(entry)) {
			this.reserveFor(entry);
		}
	}

	/** Returns the entries in the order in which they are to start. */
	private sortEntries(): readonly Entry[] {
		const now = this.timers.now();
		return this.entries.toSorted(({request: left, sequence: leftSequence}, {request: right, sequence: rightSequence}) =>
			(left.priority - right.priority)
			|| (Number(right.onTimeDeadline >= now) - Number(left.onTimeDeadline >= now))
			|| (left.arrivedAt - right.arrivedAt)
			|| (leftSequence - rightSequence));
	}

	private tryStart(entry: Entry): StartOutcome {
		if (this.reservation?.entry === entry) {
			this.cancelReservation();
		}

		const outcome = entry.request.tryStart();
		if (outcome === StartOutcome.Started) {
			this.drainRate.recordStart(entry.request.tokens, this.timers.now());
			this.remove(entry);
		}

		return outcome;
	}

	/** Reserves capacity for a large request, unless a request that is as urgent has a reservation. */
	private reserveFor(entry: Entry): void {
		const {reserve, priority} = entry.request;
		if (!reserve || (this.reservation && this.reservation.entry.request.priority <= priority)) {
			return;
		}

		this.cancelReservation();
		this.reservation = {entry, handle: reserve()};
	}

	private cancelReservation(): void {
		this.reservation?.handle.cancel();
		this.reservation = undefined;
	}

	private remove(entry: Entry): boolean {
		const index = this.entries.indexOf(entry);
		if (index === -1) {
			return false;
		}

		this.entries.splice(index, 1);
		entry.timeout.cancel();
		if (this.reservation?.entry === entry) {
			this.cancelReservation();
		}

		if (this.entries.length === 0) {
			this.ticker?.cancel();
			this.ticker = undefined;
			this.drainRate.setWaiting(false, this.timers.now());
		}

		return true;
	}
}
