import {type IncomingMessage, type ServerResponse} from 'node:http';
import {CallerReply} from '../relay/caller-reply.js';
import {type Failure} from '../results/failure.js';
import {resultTable} from '../results/result-table.js';

/** The answer to a caller over HTTP. */
export class HttpCallerReply extends CallerReply {
	private didEnd = false;

	/**
	@param ownHeaders - headers of answers of our own, names and values in turn
	@param isClosing - whether connections are to be closed with their answers
	*/
	constructor(
		private readonly message: IncomingMessage,
		private readonly response: ServerResponse,
		private readonly ownHeaders: () => string[],
		private readonly isClosing: () => boolean,
	) {
		super();
	}

	get isGone(): boolean {
		return this.response.destroyed || this.message.socket.destroyed;
	}

	get isStarted(): boolean {
		return this.response.headersSent;
	}

	begin(status: number, headers: readonly string[], isFramed: boolean): void {
		if (!isFramed) {
			this.response.useChunkedEncodingByDefault = false;
			this.response.shouldKeepAlive = false;
		}

		this.response.writeHead(status, this.withConnection(headers));
	}

	write(bytes: Uint8Array): boolean {
		return this.response.write(bytes);
	}

	end(): void {
		this.didEnd = true;
		this.response.end();
	}

	abort(): void {
		this.didEnd = true;
		this.message.socket.destroy();
	}

	fail(failure: Failure): void {
		const {status} = resultTable[failure.code];
		const body = JSON.stringify({code: failure.code, message: failure.message, execution: failure.execution});
		const headers = [...this.ownHeaders(), 'Content-Type', 'application/json', 'Content-Length', String(new TextEncoder().encode(body).length)];
		if (failure.retryAfterSeconds !== undefined) {
			headers.push('Retry-After', String(failure.retryAfterSeconds));
		}

		this.didEnd = true;
		this.response.writeHead(status, this.withConnection(headers));
		this.response.end(body);
	}

	onGone(listener: () => void): void {
		this.response.once('close', () => {
			if (!this.didEnd) {
				listener();
			}
		});
	}

	onDrain(listener: () => void): void {
		this.response.on('drain', listener);
	}

	private withConnection(headers: readonly string[]): string[] {
		return this.isClosing() ? [...headers, 'Connection', 'close'] : [...headers];
	}
}
