import {type IncomingMessage, type ServerResponse} from 'node:http';

/** Why this instance ended a connection of a caller, or the caller broke it. */
export enum ConnectionEndCause {
	/** No request arrived within the idle time. */
	Idle = 'idle',
	/** It was idle when the instance stopped. */
	Stopping = 'stopping',
	/** What arrived is no request. */
	Malformed = 'malformed',
	/** A request did not arrive completely in time. */
	Timeout = 'timeout',
	/** The connection failed, such as by a reset. */
	Failed = 'failed',
}

/** How far a reply got whose connection ended before the last byte of it was handed to the system. */
export enum ReplyLoss {
	/** Nothing of it was written. */
	Unanswered = 'unanswered',
	/** It was begun and not completed. */
	Cut = 'cut',
	/** It was completed, but not all of its bytes were handed to the system. */
	Unsent = 'unsent',
}

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
