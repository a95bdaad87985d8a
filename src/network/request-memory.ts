import {type IncomingMessage} from 'node:http';
import {type TimerHandle} from '../time/timer-handle.js';
import {type RequestRefusal} from './request-refusal.js';

/** Memory in bytes of a request and its reply beside their head and body. */
const requestBytes = 8192;
/** Memory of a field beside its characters: two strings, their places in lists, and an entry of a table. */
const fieldBytes = 300;
/** Memory of a byte of a head, which is kept as received and as decoded. */
const bytesPerHeadByte = 2;

/** Returns the memory in bytes of a head, or of the part of it that was parsed. */
export function computeHeadMemory(bytes: number, fields: number): number {
	return (bytes * bytesPerHeadByte) + (fields * fieldBytes);
}

/** Returns the memory in bytes that a request occupies without its body. */
export function computeRequestMemory({rawHeaders, url = ''}: Pick<IncomingMessage, 'rawHeaders' | 'url'>): number {
	let characters = url.length;
	for (const text of rawHeaders) {
		characters += text.length;
	}

	return requestBytes + computeHeadMemory(characters, rawHeaders.length / 2);
}

/** Receives the body of a request whose memory is counted. */
export type RequestReader = {
	/** Replies that the request is refused. */
	refuse(refusal: RequestRefusal): void;
	/** Called when the reply has left or the connection has closed. */
	end(): void;
};

/** The memory of one request from its head to the last byte of its reply. */
export class RequestMemory {
	private reader?: RequestReader;
	private refusal?: RequestRefusal;
	private isEnded = false;
	private expiry?: TimerHandle;

	/**
	@param close - closes the connection
	@param release - returns the memory to the budget
	*/
	constructor(private readonly close: () => void, private readonly release: () => void) {}

	/** Why the request was refused before its body was read; undefined if it was not. */
	get refusedFor(): RequestRefusal | undefined {
		return this.refusal;
	}

	/** Sets what reads the body. */
	attach(reader: RequestReader): void {
		this.reader = reader;
	}

	/**
	Refuses the request, whose memory is needed before it has arrived.

	@param mayReply - whether a reply would be sent at once; otherwise the connection is closed
	*/
	refuse(refusal: RequestRefusal, mayReply: boolean): void {
		this.refusal = refusal;
		if (!mayReply) {
			this.close();
		} else if (this.reader) {
			this.reader.refuse(refusal);
		}
	}

	/** Sets the timer that closes the connection of a refused request. */
	closeWith(expiry: TimerHandle): void {
		this.expiry = expiry;
		if (this.isEnded) {
			expiry.cancel();
		}
	}

	/** Releases the memory when the reply has left or the connection has closed. */
	end(): void {
		this.isEnded = true;
		this.expiry?.cancel();
		this.release();
		this.reader?.end();
	}
}
