import {type Invariants} from '../observation/invariants.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {type AdmissionOutcome} from './admission-outcome.js';
import {FairQueue} from './fair-queue.js';
import {type AdmissionRequest} from './admission-request.js';

/** Bounds of the admission queue. */
export type AdmissionLimits = {
	/** Maximum number of waiting requests. */
	readonly queue: number;
	/** Maximum time in milliseconds that a request waits. */
	readonly queueTime: number;
};

const minimumRetryAfterSeconds = 1;
const durationSmoothingFactor = 0.1;
const initialDurationMs = 1000;

/**
Decides which requests run, wait or are refused immediately.

The queue is bounded in length and waiting time. A request that cannot meet its deadline from its position in the queue is refused on arrival, with the time after which a retry is worthwhile.

@example
```
const admission = new Admission({queue: 256, queueTime: 2000}, invariants);
const outcome = admission.request(request, capacity, now);
```
*/
export class Admission {
	private readonly queue = new FairQueue();
	private readonly running = new Map<string, AdmissionRequest>();
	private averageDuration = initialDurationMs;

	constructor(private readonly limits: AdmissionLimits, private readonly invariants: Invariants) {}

	/** Number of admitted requests that have not finished. */
	get runningCount(): number {
		return this.running.size;
	}

	/** Number of waiting requests. */
	get waitingCount(): number {
		return this.queue.size;
	}

	/** Exponential moving average of the duration of admitted requests, in milliseconds. */
	get meanDuration(): number {
		return this.averageDuration;
	}

	/**
	Decides on a new request.

	@param capacity - number of requests that may run concurrently
	*/
	request(request: AdmissionRequest, capacity: number, now: number): AdmissionOutcome {
		if (this.queue.size === 0 && this.running.size < capacity) {
			this.queue.charge(request);
			this.running.set(request.id, request);
			return {admitted: [request], refused: []};
		}

		const expectedWait = this.estimateWait(this.queue.countAhead(request) + 1, capacity);
		if (this.queue.size >= this.limits.queue) {
			return this.refuse(request, ResultCode.Overloaded, `${this.queue.size} requests wait already`, expectedWait);
		}

		if (now + expectedWait + request.expectedDuration > request.deadline) {
			return this.refuse(request, ResultCode.DeadlineUnreachable, `the deadline would pass after an expected wait of ${Math.round(expectedWait)} ms`, expectedWait);
		}

		this.queue.enqueue(request, now);
		return this.advance(capacity, now);
	}

	/**
	Removes a request, whether it was admitted or is still waiting, and admits others in its place.

	@param duration - milliseconds that the request ran; undefined if it is not representative of other requests
	*/
	end(id: string, capacity: number, now: number, duration?: number): AdmissionOutcome {
		if (duration !== undefined) {
			this.averageDuration += (duration - this.averageDuration) * durationSmoothingFactor;
		}

		if (!this.running.delete(id)) {
			this.queue.remove(request => request.id === id);
		}

		return this.advance(capacity, now);
	}

	/** Admits waiting requests up to the capacity and refuses those that have waited too long or can no longer meet their deadline. */
	advance(capacity: number, now: number): AdmissionOutcome {
		const expectedWait = this.estimateWait(1, capacity);
		const expired = this.queue.remove((request, since) => now - since > this.limits.queueTime || now + request.expectedDuration > request.deadline);
		const refused = expired.flatMap(request => this.refuse(request, ResultCode.DeadlineUnreachable, 'the request waited too long in the queue', expectedWait).refused);
		const admitted: AdmissionRequest[] = [];
		while (this.running.size < capacity) {
			const request = this.queue.dequeue();
			if (!request) {
				break;
			}

			this.running.set(request.id, request);
			admitted.push(request);
		}

		this.invariants.check(this.queue.size <= this.limits.queue, 'the queue is bounded', `${this.queue.size} requests wait`);
		return {admitted, refused};
	}

	/** Expected wait in milliseconds of the request at a position in the queue, counted from 1. */
	private estimateWait(position: number, capacity: number): number {
		return position * this.averageDuration / Math.max(1, capacity);
	}

	private refuse(request: AdmissionRequest, code: ResultCode, message: string, wait: number): AdmissionOutcome {
		const retryAfter = Math.max(minimumRetryAfterSeconds, Math.ceil(wait / 1000));
		return {admitted: [], refused: [{request, failure: new Failure(code, message, undefined, retryAfter)}]};
	}
}
