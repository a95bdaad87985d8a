import {type Invariants} from '../observation/invariants.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {type AdmissionOutcome} from './admission-outcome.js';
import {FairQueue} from './fair-queue.js';
import {type AdmissionRequest} from './admission-request.js';

/** Bounds of the admission. */
export type AdmissionLimits = {
	/** Most requests that wait. */
	readonly queue: number;
	/** Milliseconds for which a request waits at most. */
	readonly queueTime: number;
};

const leastRetrySeconds = 1;
const durationWeight = 0.1;
const firstDurationMs = 1000;

/**
Decides which requests run, wait or are refused at once.

The queue is bounded in length and time, and a request that cannot make its deadline from its place in the queue is refused when it comes, with the time after which coming back makes sense.

@example
```
const admission = new Admission({queue: 256, queueTime: 2000}, invariants);
const outcome = admission.request(ticket, capacity, now);
```
*/
export class Admission {
	private readonly queue = new FairQueue();
	private readonly running = new Map<string, AdmissionRequest>();
	private duration = firstDurationMs;

	constructor(private readonly limits: AdmissionLimits, private readonly invariants: Invariants) {}

	/** Number of admitted requests that have not ended. */
	get runningCount(): number {
		return this.running.size;
	}

	/** Number of requests that wait. */
	get waitingCount(): number {
		return this.queue.size;
	}

	/** Mean milliseconds that an admitted request has taken of late. */
	get meanDuration(): number {
		return this.duration;
	}

	/**
	Decides on a new request.

	@param capacity - number of requests that may run at once
	*/
	request(ticket: AdmissionRequest, capacity: number, now: number): AdmissionOutcome {
		if (this.queue.size === 0 && this.running.size < capacity) {
			this.queue.charge(ticket);
			this.running.set(ticket.id, ticket);
			return {admitted: [ticket], refused: []};
		}

		const wait = this.expectedWait(this.queue.countAhead(ticket) + 1, capacity);
		if (this.queue.size >= this.limits.queue) {
			return this.refuse(ticket, ResultCode.Overloaded, `${this.queue.size} requests wait already`, wait);
		}

		if (now + wait + ticket.expectedDuration > ticket.deadline) {
			return this.refuse(ticket, ResultCode.DeadlineUnreachable, `the wait would be ${Math.round(wait)} ms`, wait);
		}

		this.queue.enqueue(ticket, now);
		return this.advance(capacity, now);
	}

	/**
	Ends a request, admitted or waiting.

	@param duration - milliseconds that its work took; undefined where that tells nothing about others
	*/
	end(id: string, capacity: number, now: number, duration?: number): AdmissionOutcome {
		if (duration !== undefined) {
			this.duration += (duration - this.duration) * durationWeight;
		}

		if (!this.running.delete(id)) {
			this.queue.remove(ticket => ticket.id === id);
		}

		return this.advance(capacity, now);
	}

	/** Admits what fits and refuses what has waited too long or cannot make its deadline any more. */
	advance(capacity: number, now: number): AdmissionOutcome {
		const wait = this.expectedWait(1, capacity);
		const late = this.queue.remove((ticket, since) => now - since > this.limits.queueTime || now + ticket.expectedDuration > ticket.deadline);
		const refused = late.flatMap(ticket => this.refuse(ticket, ResultCode.DeadlineUnreachable, 'it waited too long', wait).refused);
		const admitted: AdmissionRequest[] = [];
		while (this.running.size < capacity) {
			const ticket = this.queue.dequeue();
			if (!ticket) {
				break;
			}

			this.running.set(ticket.id, ticket);
			admitted.push(ticket);
		}

		this.invariants.check(this.queue.size <= this.limits.queue, 'the queue is bounded', `${this.queue.size} requests wait`);
		return {admitted, refused};
	}

	/** Milliseconds that the request at a place of the queue will wait. */
	private expectedWait(place: number, capacity: number): number {
		return place * this.duration / Math.max(1, capacity);
	}

	private refuse(ticket: AdmissionRequest, code: ResultCode, message: string, wait: number): AdmissionOutcome {
		const retryAfter = Math.max(leastRetrySeconds, Math.ceil(wait / 1000));
		return {admitted: [], refused: [{request: ticket, failure: new Failure(code, message, undefined, retryAfter)}]};
	}
}
