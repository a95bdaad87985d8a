import {ErrorBody} from '../error-body.js';
import {type ResponseHead} from '../response-head.js';
import {EventSequence} from './event-sequence.js';
import {EventSplitter, type ServerSentEvent} from './event-splitter.js';
import {type PassedEvents} from './passed-events.js';
import {StreamEnd} from './stream-end.js';

const successStatus = 200;

/** What a part of the body means. */
export type ReceivedPart = {
	/** The events to deliver to the caller. */
	readonly events: readonly ServerSentEvent[];
	/** Whether an event of this part is held until the next one shows that its id is in order. */
	readonly hasHeldEvent: boolean;
	/** Why the rest of the response is not worth receiving; undefined if it is. */
	readonly fault?: string;
};

/** The response to one attempt of a stream exchange. */
export class StreamResponse {
	/** The head of the response; undefined until it is received. */
	head?: ResponseHead;
	private readonly errorBody = new ErrorBody();
	private readonly splitter = new EventSplitter();
	private readonly sequence: EventSequence;
	private receivedAt?: number;
	private passesEvents = false;

	constructor(private readonly passed: PassedEvents) {
		this.sequence = new EventSequence(passed);
	}

	/** The body of a response that is not a stream. */
	get otherBytes(): Uint8Array {
		return this.errorBody.bytes;
	}

	/** Monotonic time in milliseconds at which the last event was received; undefined if none was. */
	get lastReceivedAt(): number | undefined {
		return this.receivedAt;
	}

	/** Whether an event of this response was passed on. */
	get hasPassedEvents(): boolean {
		return this.passesEvents;
	}

	/** Whether a further attempt would continue after the last event that the caller has received. */
	get isResumable(): boolean {
		return !this.sequence.isDisordered || this.passed.isTrusted;
	}

	/** Handles a part of the body, received at a monotonic time in milliseconds. */
	receive(chunk: Uint8Array, now: number): ReceivedPart {
		if (!this.isStream) {
			this.errorBody.add(chunk);
			return {events: [], hasHeldEvent: false, ...(this.errorBody.isOversized && {fault: 'the body of a response that is not a stream has no end'})};
		}

		const wasHolding = this.sequence.isHolding;
		const events = this.splitter.push(chunk);
		if (events.length > 0) {
			this.receivedAt = now;
		}

		const passed = events.flatMap(event => this.sequence.add(event));
		this.passesEvents ||= passed.length > 0;
		return {events: passed, hasHeldEvent: this.sequence.isHolding && !wasHolding, fault: this.findFault()};
	}

	/** Returns the events that are held, once the stream has ended. */
	releaseHeld(): readonly ServerSentEvent[] {
		return this.sequence.release();
	}

	/** Returns what the response is, now that it has ended. */
	assessEnd(): StreamEnd {
		if (this.head?.isNotExecuted) {
			return StreamEnd.Rejected;
		}

		if (!this.isStream) {
			return StreamEnd.Error;
		}

		// The stream would lack events.
		if (this.splitter.hasIncompleteEvent || this.sequence.isBehind) {
			return StreamEnd.Incomplete;
		}

		// A server that ended before its first event looks the same as one that has nothing to add.
		const isDelimited = this.head?.isSelfDelimited ?? false;
		return isDelimited || this.receivedAt !== undefined ? StreamEnd.Complete : StreamEnd.Empty;
	}

	/** Returns why the response is not a sound stream; undefined if nothing is known against it. */
	private findFault(): string | undefined {
		if (this.splitter.isMalformed) {
			return 'the stream does not consist of events';
		}

		if (this.splitter.isOversized) {
			return 'an event of the stream has no end';
		}

		return this.sequence.isDisordered ? 'the ids of the stream\'s events do not increase' : undefined;
	}

	private get isStream(): boolean {
		return this.head !== undefined && !this.head.isNotExecuted && this.head.status === successStatus && this.head.isSigned;
	}
}
