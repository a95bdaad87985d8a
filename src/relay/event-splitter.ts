import {Buffer} from 'node:buffer';
/** One event of a stream. */
export type ServerSentEvent = {
	/** Undefined for an event without a number. */
	readonly id?: number;
	/** As received, with the blank line that ends it. */
	readonly bytes: Uint8Array;
};

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const idPattern = /^id: ?(?<id>\d+)\r?$/mv;

/** Finds the end of the first whole event from an offset on; -1 where there is none. */
function findEnd(bytes: Uint8Array, offset: number): number {
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

/** Splits a `text/event-stream` into whole events. */
export class EventSplitter {
	private rest: Uint8Array = new Uint8Array(0);
	private readonly decoder = new TextDecoder('latin1');

	/** Whether bytes of an unfinished event are left. */
	get hasIncompleteEvent(): boolean {
		return this.rest.length > 0;
	}

	/** Adds bytes and takes out the events that are whole. */
	push(chunk: Uint8Array): readonly ServerSentEvent[] {
		const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
		const events: ServerSentEvent[] = [];
		let start = 0;
		for (let end = findEnd(bytes, start); end !== -1; end = findEnd(bytes, start)) {
			events.push(this.eventOf(bytes.subarray(start, end)));
			start = end;
		}

		this.rest = bytes.subarray(start);
		return events;
	}

	private eventOf(bytes: Uint8Array): ServerSentEvent {
		const id = idPattern.exec(this.decoder.decode(bytes))?.groups?.id;
		return {bytes, ...(id !== undefined && {id: Number(id)})};
	}
}
