import {type IncomingMessage} from 'node:http';
import {type Attempt} from './attempt.js';
import {type ResponseHead} from './response-head.js';

/** What the headers of a caller's request say. */
export type CallerHeaders = {
	/** The caller's id of the request; empty where it sent none. */
	readonly id: string;
	readonly key?: string;
	/** Milliseconds that the caller will wait; undefined where it did not say. */
	readonly timeout?: number;
	readonly promptTokens: number;
	readonly maxAnswerTokens: number;
	readonly lastEventId?: number;
	/** Names and values in turn, to be passed on to a backend server. */
	readonly forwardedHeaders: readonly string[];
};

/** Translates between the headers on the wire and the types of the relay. */
export abstract class ExchangeCodec {
	/** Decodes the headers of a caller's request. */
	abstract decodeRequest(message: IncomingMessage): CallerHeaders;

	/** All headers of an attempt, names and values in turn. */
	abstract encodeAttemptHeaders(attempt: Attempt): string[];

	/** Decodes the head of a backend server's answer. */
	abstract decodeResponseHead(message: IncomingMessage): ResponseHead;

	/** Headers that name the request in an answer of our own, names and values in turn. */
	abstract encodeReplyHeaders(requestId: string): string[];
}
