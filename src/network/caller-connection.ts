import {IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type ConnectionEndCause} from './connection-end-cause.js';
import {type ConnectionInput} from './connection-input.js';
import {type ConnectionObserver} from './connection-observer.js';
import {ReplyLoss} from './reply-loss.js';
import {type RequestMemory} from './request-memory.js';

function describeLoss(response: ServerResponse): ReplyLoss {
	if (!response.headersSent) {
		return ReplyLoss.Unanswered;
	}

	return response.writableEnded ? ReplyLoss.Unsent : ReplyLoss.Cut;
}

/** Added to the idle time that a reply has promised, as the runtime does, for the way of the next request. */
const idleMarginMs = 1000;

/** A connection of a caller, with the replies on it whose bytes have not all been handed to the system. */
export class CallerConnection {
	private readonly replies = new Map<ServerResponse, IncomingMessage>();
	private requests = 0;
	private newest?: IncomingMessage;
	/** Bytes that had been read when the last reply had left and the last request had been read. */
	private bytesBefore = 0;
	private input?: ConnectionInput;
	/** Memory of the requests whose replies have not closed. */
	private readonly memories = new Set<RequestMemory>();

	constructor(private readonly socket: Socket, private readonly observer: ConnectionObserver) {
		socket.once('close', () => {
			this.recordLosses();
		});
	}

	/** Number of replies whose bytes have not all been handed to the system. */
	get openReplies(): number {
		return this.replies.size;
	}

	/** Whether the last reply has left and nothing of a further request has been read. Before its first request a connection is not idle. */
	get isIdle(): boolean {
		return !this.socket.destroyed && this.isReceived && this.replies.size === 0 && this.socket.bytesRead === this.bytesBefore && !this.isInputWaiting;
	}

	/** Whether input may have arrived that was not parsed. */
	get isInputWaiting(): boolean {
		return this.input?.isWaiting ?? false;
	}

	/** Bytes of replies that were not handed to the system. */
	get unsentBytes(): number {
		let bytes = 0;
		for (const response of this.replies.keys()) {
			bytes += response.writableLength;
		}

		return bytes;
	}

	/** Number of requests whose heads were read. */
	get receivedRequests(): number {
		return this.requests;
	}

	/** Whether the last request has been read completely. */
	get isReceived(): boolean {
		return this.newest?.complete === true;
	}

	/** Whether the next reply on the connection is that to what is being received: no earlier request waits for one, and none has been begun. */
	get awaitsReplyToInput(): boolean {
		const [response, ...others] = this.replies.keys();
		return response === undefined || (others.length === 0 && !this.isReceived && !response.headersSent);
	}

	/** Sets the input that the requests of the connection are parsed from. */
	attachInput(input: ConnectionInput): void {
		this.input = input;
	}

	/**
	Records a request whose head was read.

	@param promisedIdleTime - milliseconds for which its reply will promise to keep the connection; what a configuration changes meanwhile applies to later requests
	*/
	add(message: IncomingMessage, response: ServerResponse, promisedIdleTime: number): void {
		this.requests++;
		this.newest = message;
		this.replies.set(response, message);
		this.observeInput(message, response);
		// A refused body may be read later than the refusal leaves.
		message.once('close', () => {
			this.bytesBefore = this.socket.bytesRead;
		});
		response.once('finish', () => {
			this.keepPromise(promisedIdleTime);
		});
		// Before the listener of the runtime, which may destroy the connection.
		response.prependOnceListener('finish', () => {
			// The runtime reports the end of writing also where the connection was destroyed before.
			if (!this.socket.destroyed) {
				this.replies.delete(response);
				this.bytesBefore = this.socket.bytesRead;
			}
		});
	}

	/** Releases the memory of a request when its reply closes, or the connection does: a reply that waits for earlier ones has no connection, and does not close with it. */
	endWith(response: ServerResponse, memory: RequestMemory): void {
		this.memories.add(memory);
		response.once('close', () => {
			if (this.memories.delete(memory)) {
				memory.end();
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

	/** Tells the input what has become of it. */
	private observeInput(message: IncomingMessage, response: ServerResponse): void {
		const {input} = this;
		input?.recordRequest();
		message.push = (chunk: unknown) => {
			input?.recordOutput();
			return IncomingMessage.prototype.push.call(message, chunk);
		};

		message.once('close', () => {
			input?.recordComplete();
		});
		response.once('close', () => {
			input?.proceed();
		});
	}

	/** Keeps an idle connection for as long as its last reply has promised. The runtime has set the idle time that is in force now. */
	private keepPromise(idleTime: number): void {
		const {timeout = 0} = this.socket;
		if (timeout > 0 && timeout < idleTime + idleMarginMs) {
			this.socket.setTimeout(idleTime + idleMarginMs);
		}
	}

	private recordLosses(): void {
		for (const [response, message] of this.replies) {
			this.observer.recordLostReply({loss: describeLoss(response), message, response});
		}

		this.replies.clear();
		for (const memory of this.memories) {
			memory.end();
		}

		this.memories.clear();
	}
}
