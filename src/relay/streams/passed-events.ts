import {crc32} from 'node:zlib';
import {type ServerSentEvent} from './event-splitter.js';

/** Events that are remembered, to recognize their repetitions. */
const maxRememberedEvents = 64;

/** The events of a stream that were passed on to its caller, by all attempts. */
export class PassedEvents {
	private readonly checksums = new Map<number, number>();
	private hasSkips = false;

	/**
	@param id - id of the last event that the caller has received; undefined if it has received none
	*/
	constructor(private id: number | undefined) {}

	/** Id of the last event that was passed on. */
	get lastId(): number | undefined {
		return this.id;
	}

	/** Whether the ids can be relied on to resume after the last one: if ids skip, a wrong one can't be told from a sound one. */
	get isTrusted(): boolean {
		return !this.hasSkips;
	}

	/** Records that ids skip others. */
	recordSkip(): void {
		this.hasSkips = true;
	}

	/** Whether an event with this id would follow the last one without skipping others. */
	isNext(id: number): boolean {
		return id <= (this.id ?? 0) + 1;
	}

	/** Whether the event was passed on with this id and the same content. */
	has({bytes}: ServerSentEvent, id: number): boolean {
		return this.checksums.get(id) === crc32(bytes);
	}

	/** Records that an event was passed on. */
	record({id, bytes}: ServerSentEvent): void {
		if (id === undefined) {
			return;
		}

		this.id = id;
		this.checksums.set(id, crc32(bytes));
		const [oldest] = this.checksums.keys();
		if (this.checksums.size > maxRememberedEvents) {
			this.checksums.delete(oldest);
		}
	}
}
