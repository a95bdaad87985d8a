import {DrainRate} from '../admission/drain-rate.js';
import {StartGuarantee} from '../admission/start-guarantee.js';
import {VirtualTimes} from '../admission/virtual-times.js';
import {type WaitingWork} from '../admission/zone-waiting.js';
import {type TimerHandle} from '../time/timer-handle.js';
import {type TimerService} from '../time/timer-service.js';
import {type QueuedRequest} from './queued-request.js';
import {StartOutcome} from './start-outcome.js';

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

/** Priorities of which the workspaces are scheduled by their shares. */
const maxPriorities = 16;
/** Multiple of the time that is left above which a predicted wait refuses a request; the prediction rests on few starts. */
const hopelessFactor = 1.5;

function compareArrivals(left: Entry, right: Entry): number {
	return (left.request.arrivedAt - right.request.arrivedAt) || (left.sequence - right.sequence);
}

/**
Queues requests while no pipeline has capacity for them. Requests start in order of priority; within a priority, those that can still be answered on time start first, and then the others. Those with the same rank start by the shares of their workspaces, in order of arrival. One start in ten goes to the oldest request of a less urgent priority.

Under overload a plain FIFO queue would make every answer late (B. Maurer, "Fail at scale", ACM Queue, 2015).

The first large request that finds no capacity reserves what becomes free; requests behind it start if there is capacity beside the reservation. Without it, smaller requests would keep a large one waiting for good (EASY backfilling; D. Lifka, "The ANL/IBM SP scheduling system", JSSPP 1995).
*/
export class RequestQueue {
	private readonly entries: Entry[] = [];
	private nextSequence = 0;
	private readonly drainRate = new DrainRate();
	private readonly guarantee = new StartGuarantee();
	private readonly virtualTimes = new Map<number, VirtualTimes>();
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

	/** Returns what waits, by service and priority. */
	describeWaiting(): readonly WaitingWork[] {
		const sums = new Map<string, WaitingWork>();
		for (const {request: {service = '', priority, tokens}} of this.entries) {
			const key = `${priority} ${service}`;
			const sum = sums.get(key);
			sums.set(key, {
				service, priority, requests: (sum?.requests ?? 0) + 1, tokens: (sum?.tokens ?? 0) + tokens,
			});
		}

		return [...sums.values()];
	}

	/** Records that a request starts, from the queue or without waiting. */
	recordStart({priority, workspace = '', tokens}: Pick<QueuedRequest, 'priority' | 'workspace' | 'tokens'>, isEntitled = false): void {
		const times = this.virtualTimes.get(priority) ?? new VirtualTimes();
		if (this.virtualTimes.size < maxPriorities) {
			this.virtualTimes.set(priority, times);
		}

		times.serve(workspace, tokens, 1);
		if (!isEntitled && this.entries.some(({request}) => request.priority > priority)) {
			this.guarantee.recordMoreUrgent();
		} else {
			this.guarantee.reset();
		}
	}

	/** Records that a request waits because a more urgent one waits at another instance. */
	recordYield(): void {
		this.guarantee.recordMoreUrgent();
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
		const entitled = this.findEntitled();
		for (const entry of entitled ? [entitled, ...this.sortEntries().filter(other => other !== entitled)] : this.sortEntries()) {
			const {tokens, mayUseReserve} = entry.request;
			const isCandidate = entry !== this.reservation?.entry && tokens < smallestFailed && (mayUseReserve === true || tokens < smallestFailedBesideReserve);
			const outcome = isCandidate && this.entries.includes(entry) ? this.tryStart(entry, entry === entitled) : undefined;
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
		if (this.drainRate.predictWait(0, now) === undefined) {
			return;
		}

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
		const starts = this.computeStarts();
		return this.entries.toSorted((left, right) =>
			(left.request.priority - right.request.priority)
			|| (Number(right.request.onTimeDeadline >= now) - Number(left.request.onTimeDeadline >= now))
			|| (starts.get(left)! - starts.get(right)!)
			|| compareArrivals(left, right));
	}

	/** Returns the virtual times at which the requests start, as if all workspaces had the same share. */
	private computeStarts(): ReadonlyMap<Entry, number> {
		const starts = new Map<Entry, number>();
		const nextStarts = new Map<string, number>();
		for (const entry of this.entries.toSorted(compareArrivals)) {
			const {priority, workspace = '', tokens} = entry.request;
			const key = `${priority} ${workspace}`;
			const start = nextStarts.get(key) ?? this.virtualTimes.get(priority)?.getStart(workspace) ?? 0;
			starts.set(entry, start);
			nextStarts.set(key, start + tokens);
		}

		return starts;
	}

	/** Returns the request that is entitled to the next start although more urgent ones wait: the oldest one that is less urgent than another, or than one elsewhere. */
	private findEntitled(): Entry | undefined {
		if (!this.guarantee.isDue) {
			return undefined;
		}

		const mostUrgent = Math.min(...this.entries.map(({request}) => request.priority));
		return this.entries.filter(({request}) => request.priority > mostUrgent || request.isMoreUrgentElsewhere?.()).toSorted(compareArrivals)[0];
	}

	private tryStart(entry: Entry, isEntitled = false): StartOutcome {
		if (this.reservation?.entry === entry) {
			this.cancelReservation();
		}

		const outcome = entry.request.tryStart(isEntitled);
		if (outcome === StartOutcome.Started) {
			this.drainRate.recordStart(entry.request.tokens, this.timers.now());
			this.remove(entry);
			this.recordStart(entry.request, isEntitled);
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
