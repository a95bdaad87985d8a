import {type IncomingMessage} from 'node:http';
import {type TimerService} from '../time/timer-service.js';

/** Longest time in milliseconds for which the rest of a request is read before its connection is closed. */
const maxRestMs = 1000;
/** Longest time in milliseconds for which the rest of a request is read on a connection that is kept. */
const maxKeptRestMs = 10_000;
/** Bytes of the rest of a request that are read. Callers that write their whole body before they read need them to get the refusal. */
const maxRestBytes = 16_777_216;
/** Pieces of the rest that are read; each takes processing time, whatever its size. */
const maxRestPieces = 32_768;
/** Requests whose rest is read at a time. */
const maxRests = 16;

/** Reads and discards the rests of refused requests, each within bounds, a few at a time, and none while memory is scarce: the memory of discarded bytes is freed late. */
export class RestReader {
	private reading = 0;

	/**
	@param isMemoryScarce - whether the memory for requests is nearly used up
	*/
	constructor(private readonly timers: TimerService, private readonly isMemoryScarce: () => boolean) {}

	/** Calls back once the rest of a request has been read, or its connection has closed, or after a second or many bytes, or at once if many rests are being read or memory is scarce. A connection that is closed with input unread is reset, and its caller could lose a reply that it has not read yet. */
	afterRest(message: IncomingMessage, callback: () => void): void {
		this.discard(message, maxRestMs, callback);
	}

	/** Discards the rest of a refused request whose connection is kept. Closes the connection if the rest does not end soon. */
	limitRest(message: IncomingMessage): void {
		this.discard(message, maxKeptRestMs, () => {
			if (!message.complete) {
				message.socket.destroy();
			}
		});
	}

	private discard(message: IncomingMessage, maxMs: number, callback: () => void): void {
		if (message.complete || message.destroyed || this.reading >= maxRests || this.isMemoryScarce()) {
			callback();
			return;
		}

		this.reading++;
		let isOver = false;
		let bytes = 0;
		let pieces = 0;
		const count = (piece: Uint8Array) => {
			bytes += piece.length;
			pieces++;
			if (bytes > maxRestBytes || pieces > maxRestPieces || this.isMemoryScarce()) {
				finish();
			}
		};

		const finish = () => {
			if (!isOver) {
				isOver = true;
				this.reading--;
				message.off('data', count);
				timeout.cancel();
				callback();
			}
		};

		const timeout = this.timers.after(maxMs, finish);
		message.once('end', finish);
		message.once('close', finish);
		message.on('data', count);
		message.resume();
	}
}
