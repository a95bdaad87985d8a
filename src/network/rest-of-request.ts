import {type IncomingMessage} from 'node:http';
import {type TimerService} from '../time/timer-service.js';

/** Longest time in milliseconds for which the rest of a request is read. */
const maxRestMs = 1000;

/** Calls back once the rest of a request has been read, or its connection has closed, or after a second. A connection that is closed with input unread is reset, and its caller could lose a reply that it has not read yet. */
export function afterRestOfRequest(message: IncomingMessage, timers: TimerService, callback: () => void): void {
	if (message.complete || message.destroyed) {
		callback();
		return;
	}

	let isOver = false;
	const finish = () => {
		if (!isOver) {
			isOver = true;
			timeout.cancel();
			callback();
		}
	};

	const timeout = timers.after(maxRestMs, finish);
	message.once('end', finish);
	message.once('close', finish);
	message.resume();
}
