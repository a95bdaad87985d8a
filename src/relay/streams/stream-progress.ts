import {PassedEvents} from './passed-events.js';

/** Tracks the events that the caller of a stream has received, and their timing. Times are monotonic milliseconds. */
export class StreamProgress {
	/** The events that were passed on, by all attempts. */
	readonly passed: PassedEvents;
	private deliveredAt?: number;
	private timeToFirstEvent = 0;
	private longestPause = 0;
	private deliveryCount = 0;

	/**
	@param arrivedAt - when the request arrived
	@param lastEventId - id of the last event that the caller received from an earlier request
	*/
	constructor(private readonly arrivedAt: number, lastEventId: number | undefined) {
		this.passed = new PassedEvents(lastEventId);
	}

	/** Id of the last event that the caller has received. */
	get lastEventId(): number | undefined {
		return this.passed.lastId;
	}

	/** When the last event was delivered to the caller; the arrival of the request if none was. */
	get lastDeliveredAt(): number {
		return this.deliveredAt ?? this.arrivedAt;
	}

	/** Number of events delivered to the caller. */
	get deliveredEvents(): number {
		return this.deliveryCount;
	}

	/** Whether an event has been delivered to the caller. */
	get hasDelivered(): boolean {
		return this.deliveredAt !== undefined;
	}

	/** Milliseconds from the arrival of the request to the delivery of the first event; 0 before it. */
	get firstEventMs(): number {
		return this.timeToFirstEvent;
	}

	/** Longest time in milliseconds between two deliveries. */
	get longestPauseMs(): number {
		return this.longestPause;
	}

	/** Records that an event was delivered to the caller. */
	recordDelivery(now: number): void {
		if (this.deliveredAt === undefined) {
			this.timeToFirstEvent = now - this.arrivedAt;
		} else {
			this.longestPause = Math.max(this.longestPause, now - this.deliveredAt);
		}

		this.deliveredAt = now;
		this.deliveryCount++;
	}
}
