import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {listenForEnd} from '../network/end-listeners.js';
import {type RestReader} from '../network/rest-reader.js';
import {CallerReply} from '../relay/caller-reply.js';
import {type Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {resultTable} from '../results/result-table.js';

/** The version of HTTP without chunks, in which the end of the connection may delimit a body. */
const unchunkedVersion = '1.0';

/** Closes a connection whose reply is not complete. Resets it while bytes of the reply are unsent; afterwards the runtime has ended its side and can't reset it any more, and would leave it open if asked to. */
function closeUnfinished(socket: Socket): void {
	if (socket.writableLength > 0) {
		socket.resetAndDestroy();
	} else {
		socket.destroy();
	}
}

/** Failures after which the rest of the request is of no use, so that its connection is closed. */
const closingCodes: ReadonlySet<ResultCode> = new Set([ResultCode.BodyTooLarge, ResultCode.BodyTooSlow, ResultCode.BodyMemoryShort]);

/** What the replies of an instance depend on. */
export type HttpReplyOptions = {
	/** Returns the headers of replies that the router creates itself, as alternating names and values. */
	readonly getReplyHeaders: () => string[];
	/** Whether to close the connection after the reply. */
	readonly shouldCloseConnection: () => boolean;
	readonly rests: RestReader;
};

/** Writes the reply to a caller as an HTTP response. */
export class HttpCallerReply extends CallerReply {
	private isEnded = false;
	private closesConnection = false;

	constructor(private readonly message: IncomingMessage, private readonly response: ServerResponse, private readonly options: HttpReplyOptions) {
		super();
	}

	get isGone(): boolean {
		return this.response.destroyed || this.message.socket.destroyed || this.message.socket.readableEnded;
	}

	/** Whether the caller has ended its side of the connection, rather than reset it. It may still read; that can't be told before something is written. */
	get isEndedByCaller(): boolean {
		return this.message.socket.readableEnded;
	}

	get isStarted(): boolean {
		return this.response.headersSent;
	}

	begin(status: number, headers: readonly string[]): void {
		this.response.writeHead(status, this.addConnectionHeader(headers));
	}

	write(bytes: Uint8Array): boolean {
		return this.response.write(bytes);
	}

	end(): void {
		this.isEnded = true;
		this.response.end();
	}

	abort(): void {
		this.isEnded = true;
		if (this.message.httpVersion === unchunkedVersion) {
			this.message.socket.resetAndDestroy();
		} else {
			this.message.socket.destroy();
		}
	}

	fail(failure: Failure): void {
		const {status} = resultTable[failure.code];
		const body = JSON.stringify({code: failure.code, message: failure.message, execution: failure.execution});
		const headers = [...this.options.getReplyHeaders(), 'Content-Type', 'application/json', 'Content-Length', String(new TextEncoder().encode(body).length)];
		if (failure.retryAfterSeconds !== undefined) {
			headers.push('Retry-After', String(failure.retryAfterSeconds));
		}

		this.isEnded = true;
		this.closesConnection = closingCodes.has(failure.code) && !this.message.complete;
		this.response.writeHead(status, this.addConnectionHeader(headers));
		this.endWith(body);
	}

	onGone(listener: () => void): void {
		const {socket} = this.message;
		let isNotified = false;
		const notify = () => {
			if (!this.isEnded && !isNotified) {
				isNotified = true;
				listener();
			}
		};

		// While the reply is blocked, the connection stays open after the caller has closed its end. It is reset, so that what was sent of the reply does not look complete.
		const close = () => {
			if (!this.isEnded) {
				notify();
				closeUnfinished(socket);
			}
		};

		const stopListening = listenForEnd(socket, close);
		this.response.once('close', () => {
			stopListening();
			notify();
		});
	}

	onDrain(listener: () => void): void {
		this.response.on('drain', listener);
	}

	private get shouldClose(): boolean {
		return this.closesConnection || this.options.shouldCloseConnection();
	}

	/** Completes a failure. Where that closes the connection, the rest of the request is read before. */
	private endWith(body: string): void {
		if (this.response.shouldKeepAlive && !this.shouldClose) {
			this.response.end(body);
			return;
		}

		this.response.write(body);
		this.options.rests.afterRest(this.message, () => {
			this.response.end();
		});
	}

	private addConnectionHeader(headers: readonly string[]): string[] {
		return this.shouldClose ? [...headers, 'Connection', 'close'] : [...headers];
	}
}
