import {EventSplitter, type ServerSentEvent} from './event-splitter.js';

/** What the caller of a stream has, and how long it waited for it. Times are monotonic milliseconds. */
export class StreamProgress {
	private splitter = new EventSplitter();
	private lastId?: number;
	private heardAt: number;
	private passedAt?: number;
	private firstEventAfter = 0;
	private pause = 0;
	private passed = 0;

	/**
	@param arrivedAt - when the request came
	@param lastEventId - id of the last event that the caller has from an earlier request
	*/
	constructor(private readonly arrivedAt: number, lastEventId: number | undefined) {
		this.lastId = lastEventId;
		this.heardAt = arrivedAt;
	}

	/** Id of the last event that the caller has. */
	get lastEventId(): number | undefined {
		return this.lastId;
	}

	/** When an event last came, or the attempt under way began. */
	get lastReceivedAt(): number {
		return this.heardAt;
	}

	/** When the caller was last given an event, or its request came. */
	get lastDeliveredAt(): number {
		return this.passedAt ?? this.arrivedAt;
	}

	/** Events given to the caller. */
	get deliveredEvents(): number {
		return this.passed;
	}

	/** Whether the caller has been given an event. */
	get hasDelivered(): boolean {
		return this.passedAt !== undefined;
	}

	/** Milliseconds from the arrival to the first event. */
	get firstEventMs(): number {
		return this.firstEventAfter;
	}

	/** The longest time in milliseconds between two events. */
	get longestPauseMs(): number {
		return this.pause;
	}

	/** Whether bytes of an unfinished event came. */
	get hasIncompleteEvent(): boolean {
		return this.splitter.hasIncompleteEvent;
	}

	/** An attempt begins; what an earlier one left of an event is dropped. */
	beginAttempt(now: number): void {
		this.splitter = new EventSplitter();
		this.heardAt = now;
	}

	/** Takes bytes of the attempt under way and gives the whole events that the caller does not have yet. */
	receive(chunk: Uint8Array, now: number): readonly ServerSentEvent[] {
		const events = this.splitter.push(chunk);
		if (events.length > 0) {
			this.heardAt = now;
		}

		return events.filter(({id}) => id === undefined || this.lastId === undefined || id > this.lastId);
	}

	/** An event is given to the caller. */
	recordDelivery({id}: ServerSentEvent, now: number): void {
		if (this.passedAt === undefined) {
			this.firstEventAfter = now - this.arrivedAt;
		} else {
			this.pause = Math.max(this.pause, now - this.passedAt);
		}

		this.passedAt = now;
		this.passed++;
		this.lastId = id ?? this.lastId;
	}
}
