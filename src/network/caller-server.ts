import {
	type IncomingMessage, Server, type ServerOptions, type ServerResponse, STATUS_CODES,
} from 'node:http';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {CallerConnection} from './caller-connection.js';
import {ConnectionEndCause, type ConnectionObserver} from './connection-observer.js';

const badRequest = 400;
const requestTimeout = 408;
/** Statuses of input that is refused before it is a request, by the code of the runtime's error. */
const inputStatuses: ReadonlyMap<string, number> = new Map([
	['HPE_HEADER_OVERFLOW', 431],
	['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
	['ERR_HTTP_REQUEST_TIMEOUT', requestTimeout],
]);

function getInputStatus(error: NodeJS.ErrnoException): number {
	return inputStatuses.get(error.code ?? '') ?? badRequest;
}

/** An HTTP server for callers that reports connections that it ends and replies that are lost. */
export class CallerServer extends Server {
	private readonly tracked = new Map<Duplex, CallerConnection>();

	constructor(options: ServerOptions, listener: (message: IncomingMessage, response: ServerResponse) => void, private readonly observer: ConnectionObserver) {
		super(options);
		this.on('connection', socket => {
			this.track(socket);
		});
		this.on('request', (message, response) => {
			this.tracked.get(message.socket)?.add(message, response);
			listener(message, response);
		});
		this.on('timeout', (socket: Socket) => {
			this.tracked.get(socket)?.end(ConnectionEndCause.Idle);
		});
		this.on('clientError', (error, socket) => {
			this.refuseInput(error, socket);
		});
	}

	private track(socket: Socket): void {
		this.tracked.set(socket, new CallerConnection(socket, this.observer));
		socket.once('close', () => {
			this.tracked.delete(socket);
		});
	}

	/** Answers input that is no request as the runtime does. */
	private refuseInput(error: NodeJS.ErrnoException, socket: Duplex): void {
		const connection = this.tracked.get(socket);
		if (!socket.writable) {
			connection?.end(ConnectionEndCause.Failed, error);
			return;
		}

		const status = getInputStatus(error);
		if (!connection?.hasBegunReply) {
			socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
		}

		connection?.end(status === requestTimeout ? ConnectionEndCause.Timeout : ConnectionEndCause.Malformed, error);
	}
}
