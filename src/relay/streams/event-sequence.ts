import {crc32} from 'node:zlib';
import {type ServerSentEvent} from './event-splitter.js';
import {type PassedEvents} from './passed-events.js';

/** Events that are held at a time. */
const maxHeldEvents = 16;

/**
Decides which events of an attempt are passed on, by their ids, which increase within an attempt.

An event that begins again or repeats is dropped if nothing is lost with it. An id that skips others may be wrong, and a caller that received it would resume behind events that it never got. So where ids have not skipped before, such an event is held until the next one shows that it is in order.
*/
export class EventSequence {
	private previousId?: number;
	private held: ServerSentEvent[] = [];
	private hasFault = false;

	/**
	@param passed - the events that this attempt and the others of its stream have passed on
	*/
	constructor(private readonly passed: PassedEvents) {}

	/** Whether an id of the attempt contradicts the others, so that events may be missing. What follows is dropped. */
	get isDisordered(): boolean {
		return this.hasFault;
	}

	/** Whether events are held. */
	get isHolding(): boolean {
		return this.held.length > 0;
	}

	/** Whether the attempt has sent events, but not those that the caller is missing. */
	get isBehind(): boolean {
		return this.previousId !== undefined && this.passed.lastId !== undefined && this.previousId < this.passed.lastId;
	}

	/** Adds an event of the attempt and returns the events to pass on. */
	add(event: ServerSentEvent): readonly ServerSentEvent[] {
		if (this.hasFault) {
			return [];
		}

		return event.id === undefined ? this.addWithoutId(event) : this.addWithId(event, event.id);
	}

	/** Returns the held events, to pass them on because the stream has ended without contradicting them. */
	release(): readonly ServerSentEvent[] {
		const events = this.held;
		this.held = [];
		for (const event of events) {
			this.passed.record(event);
		}

		return events;
	}

	private addWithoutId(event: ServerSentEvent): readonly ServerSentEvent[] {
		if (!this.isHolding) {
			return [event];
		}

		this.hasFault = this.held.length >= maxHeldEvents;
		this.held.push(event);
		return [];
	}

	private addWithId(event: ServerSentEvent, id: number): readonly ServerSentEvent[] {
		const {passed, previousId = Number.NEGATIVE_INFINITY} = this;
		const lastId = passed.lastId ?? Number.NEGATIVE_INFINITY;
		if (id <= previousId) {
			this.hasFault = !this.isRepetition(event, id);
			return [];
		}

		if (id > lastId && this.isBehind) {
			// The attempt began before the last event that was passed on, and yet did not contain it.
			this.hasFault = true;
			return [];
		}

		const isInOrder = !passed.isTrusted || this.isHolding || passed.isNext(id);
		this.previousId = id;
		if (id <= lastId) {
			return [];
		}

		if (!isInOrder) {
			this.held.push(event);
			return [];
		}

		if (this.isHolding) {
			passed.recordSkip();
		}

		const released = this.release();
		passed.record(event);
		return [...released, event];
	}

	private isRepetition(event: ServerSentEvent, id: number): boolean {
		return this.passed.has(event, id) || this.held.some(({id: heldId, bytes}) => heldId === id && crc32(bytes) === crc32(event.bytes));
	}
}
