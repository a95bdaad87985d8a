import {EventSplitter, type ServerSentEvent} from './event-splitter.js';

/** Tracks the events that the caller of a stream has received, and their timing. Times are monotonic milliseconds. */
export class StreamProgress {
	private splitter = new EventSplitter();
	private lastId?: number;
	private receivedAt: number;
	private deliveredAt?: number;
	private timeToFirstEvent = 0;
	private longestPause = 0;
	private deliveryCount = 0;
	private hasAttemptEvent = false;

	/**
	@param arrivedAt - when the request arrived
	@param lastEventId - id of the last event that the caller received from an earlier request
	*/
	constructor(private readonly arrivedAt: number, lastEventId: number | undefined) {
		this.lastId = lastEventId;
		this.receivedAt = arrivedAt;
	}

	/** Id of the last event that the caller has received. */
	get lastEventId(): number | undefined {
		return this.lastId;
	}

	/** When the last event was received from a backend server, or the current attempt started. */
	get lastReceivedAt(): number {
		return this.receivedAt;
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

	/** Whether the current attempt has sent an event. */
	get hasReceivedEvent(): boolean {
		return this.hasAttemptEvent;
	}

	/** Whether the current attempt has sent bytes of an incomplete event. */
	get hasIncompleteEvent(): boolean {
		return this.splitter.hasIncompleteEvent;
	}

	/** Whether the current attempt has sent an incomplete event that is too long. */
	get hasOversizedEvent(): boolean {
		return this.splitter.isOversized;
	}

	/** Whether the current attempt has sent something else than events. */
	get hasMalformedEvent(): boolean {
		return this.splitter.isMalformed;
	}

	/** Starts an attempt and drops the incomplete event of an earlier one. */
	beginAttempt(now: number): void {
		this.splitter = new EventSplitter();
		this.hasAttemptEvent = false;
		this.receivedAt = now;
	}

	/** Adds bytes of the current attempt and returns the complete events that the caller has not yet received. */
	receive(chunk: Uint8Array, now: number): readonly ServerSentEvent[] {
		const events = this.splitter.push(chunk);
		if (events.length > 0) {
			this.hasAttemptEvent = true;
			this.receivedAt = now;
		}

		let {lastId} = this;
		return events.filter(({id}) => {
			if (id === undefined) {
				return true;
			}

			const isNew = lastId === undefined || id > lastId;
			lastId = isNew ? id : lastId;
			return isNew;
		});
	}

	/** Records that an event was delivered to the caller. */
	recordDelivery({id}: ServerSentEvent, now: number): void {
		if (this.deliveredAt === undefined) {
			this.timeToFirstEvent = now - this.arrivedAt;
		} else {
			this.longestPause = Math.max(this.longestPause, now - this.deliveredAt);
		}

		this.deliveredAt = now;
		this.deliveryCount++;
		this.lastId = id ?? this.lastId;
	}
}
