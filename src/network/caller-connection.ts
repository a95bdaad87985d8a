import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {
	type ConnectionEndCause, ReplyLoss, type ConnectionObserver,
} from './connection-observer.js';

function describeLoss(response: ServerResponse): ReplyLoss {
	if (!response.headersSent) {
		return ReplyLoss.Unanswered;
	}

	return response.writableEnded ? ReplyLoss.Unsent : ReplyLoss.Cut;
}

/** A connection of a caller, with the replies on it whose bytes have not all been handed to the system. */
export class CallerConnection {
	private readonly replies = new Map<ServerResponse, IncomingMessage>();
	private requests = 0;

	constructor(private readonly socket: Socket, private readonly observer: ConnectionObserver) {
		socket.once('close', () => {
			this.recordLosses();
		});
	}

	/** Number of replies whose bytes have not all been handed to the system. */
	get openReplies(): number {
		return this.replies.size;
	}

	/** Whether a part of a reply has been written that is not complete or not handed to the system. */
	get hasBegunReply(): boolean {
		return [...this.replies.keys()].some(({headersSent}) => headersSent);
	}

	/** Records a request whose head was read. */
	add(message: IncomingMessage, response: ServerResponse): void {
		this.requests++;
		this.replies.set(response, message);
		// Before the listener of the runtime, which may destroy the connection.
		response.prependOnceListener('finish', () => {
			// The runtime reports the end of writing also where the connection was destroyed before.
			if (!this.socket.destroyed) {
				this.replies.delete(response);
			}
		});
	}

	/** Ends the connection at once. */
	end(cause: ConnectionEndCause, error?: Error): void {
		this.observer.recordEnd({
			cause, requests: this.requests, openReplies: this.openReplies, detail: error?.message,
		});
		this.socket.destroy(error);
	}

	private recordLosses(): void {
		for (const [response, message] of this.replies) {
			this.observer.recordLostReply({loss: describeLoss(response), message, response});
		}

		this.replies.clear();
	}
}
