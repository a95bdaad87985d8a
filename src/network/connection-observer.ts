import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type ConnectionEndCause} from './connection-end-cause.js';
import {type ReplyLoss} from './reply-loss.js';

/** The end of a connection. */
export type ConnectionEnd = {
	readonly cause: ConnectionEndCause;
	/** Requests whose heads were read. */
	readonly requests: number;
	/** Replies that were not complete. */
	readonly openReplies: number;
	/** What the runtime reported; undefined if nothing failed. */
	readonly detail?: string;
};

/** A reply that did not leave completely. */
export type LostReply = {
	readonly loss: ReplyLoss;
	readonly message: IncomingMessage;
	readonly response: ServerResponse;
};

/** Is told of connections that end, and of replies that are lost with them. */
export abstract class ConnectionObserver {
	/** Called for each connection that this side ends, or that fails; not for those that callers close. */
	abstract recordEnd(end: ConnectionEnd): void;

	/** Called for each request that was read and whose connection ended before the reply had left completely. */
	abstract recordLostReply(reply: LostReply): void;
}
