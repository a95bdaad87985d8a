import {ByteBuffer} from '../../network/byte-buffer.js';

/** One event of a `text/event-stream`. */
export type ServerSentEvent = {
	/** Undefined for an event without a numeric id. */
	readonly id?: number;
	/** As received, including the blank line that ends the event. */
	readonly bytes: Uint8Array;
};

const maxEventBytes = 65_536;
const lineFeed = 0x0A;
const carriageReturn = 0x0D;
/** A line that is neither empty, nor a comment, nor a field, whose names are in lower case. */
const foreignLinePattern = /^(?!(?:[a-z][a-z\d_\-]*)?(?::|$))/mv;
const fieldPattern = /^[a-z]/mv;
const idPattern = /^id: ?(?<id>\d+)\r?$/mv;

/** Bytes of the end of an event that may arrive before its last byte. */
const maxPartialEndBytes = 2;

/** Finds the end of the first complete event at or after an offset; -1 if there is none. */
function findEventEnd(bytes: Uint8Array, offset: number): number {
	for (let at = bytes.indexOf(lineFeed, offset); at !== -1; at = bytes.indexOf(lineFeed, at + 1)) {
		if (bytes[at + 1] === lineFeed) {
			return at + 2;
		}

		if (bytes[at + 1] === carriageReturn && bytes[at + 2] === lineFeed) {
			return at + 3;
		}
	}

	return -1;
}

/** Splits a `text/event-stream` into complete events. */
export class EventSplitter {
	private readonly remainder = new ByteBuffer();
	/** Bytes of comments and blank lines since the last event with a field. */
	private emptyBytes = 0;
	private readonly decoder = new TextDecoder('latin1');
	private isForeign = false;

	/** Whether the incomplete event, or what precedes the next event, is longer than any event of a backend server, so that its end is not worth waiting for. */
	get isOversized(): boolean {
		return this.remainder.length > maxEventBytes || this.emptyBytes > maxEventBytes;
	}

	/** Whether the bytes are not only events, but for example the head of a response or a text. What follows the first other bytes is dropped. */
	get isMalformed(): boolean {
		return this.isForeign;
	}

	/** Whether bytes of an incomplete event are buffered. */
	get hasIncompleteEvent(): boolean {
		return this.remainder.length > 0;
	}

	/** Adds bytes and returns the events that they complete. */
	push(chunk: Uint8Array): readonly ServerSentEvent[] {
		const receivedBefore = this.remainder.length;
		if (receivedBefore > 0) {
			this.remainder.append(chunk);
		}

		const bytes = receivedBefore > 0 ? this.remainder.bytes : chunk;
		const events: ServerSentEvent[] = [];
		let start = 0;
		for (let end = findEventEnd(bytes, Math.max(0, receivedBefore - maxPartialEndBytes)); end !== -1; end = findEventEnd(bytes, start)) {
			const eventBytes = bytes.subarray(start, end);
			const text = this.decoder.decode(eventBytes);
			this.isForeign ||= foreignLinePattern.test(text);
			if (this.isForeign) {
				break;
			}

			this.emptyBytes = fieldPattern.test(text) ? 0 : this.emptyBytes + eventBytes.length;
			events.push(this.parseEvent(eventBytes, text));
			start = end;
		}

		if (receivedBefore === 0 || start > 0) {
			this.keep(bytes.subarray(start));
		}

		return events;
	}

	/** Keeps the bytes of an incomplete event, in memory of their own because the events are parts of the memory before. */
	private keep(bytes: Uint8Array): void {
		this.remainder.take();
		this.remainder.append(bytes);
	}

	private parseEvent(bytes: Uint8Array, text: string): ServerSentEvent {
		const id = idPattern.exec(text)?.groups?.id;
		return {bytes, ...(id !== undefined && {id: Number(id)})};
	}
}
