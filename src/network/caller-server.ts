import {
	type IncomingMessage, Server, type ServerOptions, type ServerResponse, STATUS_CODES,
} from 'node:http';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {type TimerService} from '../time/timer-service.js';
import {CallerConnection} from './caller-connection.js';
import {ConnectionEndCause} from './connection-end-cause.js';
import {type ConnectionObserver} from './connection-observer.js';

/** Duration of two turns of the event loop from which the process may have stood still. */
const stallThresholdMs = 20;
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

/**
An HTTP server for callers that reports connections that it ends and replies that are lost.

It ends a connection as idle, or as too late with a request, only after it has read the input that had arrived: a process that stood still notices the time before the request.
*/
export class CallerServer extends Server {
	private readonly tracked = new Map<Duplex, CallerConnection>();
	private openedConnections = 0;
	private connectionLimit = Number.POSITIVE_INFINITY;

	constructor(options: ServerOptions, listener: (message: IncomingMessage, response: ServerResponse) => void, private readonly observer: ConnectionObserver, private readonly timers: TimerService) {
		super(options);
		this.on('connection', socket => {
			this.track(socket);
		});
		this.on('request', (message, response) => {
			this.tracked.get(message.socket)?.add(message, response, this.keepAliveTimeout);
			listener(message, response);
		});
		this.on('timeout', (socket: Socket) => {
			void this.endIdle([this.tracked.get(socket)], ConnectionEndCause.Idle);
		});
		this.on('clientError', (error, socket) => {
			void this.handleInputError(error, socket);
		});
	}

	/** Number of replies whose bytes have not all been handed to the system, of requests whose heads were read. */
	get openReplies(): number {
		return [...this.tracked.values()].reduce((sum, {openReplies}) => sum + openReplies, 0);
	}

	/** Sets the number of connections that may be open at a time. A connection beyond them takes the place of the oldest one whose request has not arrived completely, or of an idle one. */
	limitConnections(limit: number): void {
		this.connectionLimit = limit;
	}

	/** Also called by the runtime when the server stops listening. */
	override closeIdleConnections(): void {
		void this.closeIdle();
	}

	/** Ends the connections that are idle once the input that has arrived is read; resolves afterwards. */
	async closeIdle(): Promise<void> {
		await this.endIdle([...this.tracked.values()], ConnectionEndCause.Stopping);
	}

	/** Handles input that has arrived. Resolves to whether more connections may be waiting: callers had opened some, of which the runtime accepts one in each turn of the event loop, or the process stood still meanwhile. */
	async acceptArrived(): Promise<boolean> {
		const openedBefore = this.openedConnections;
		const startedAt = this.timers.now();
		await this.timers.handleInput();
		return this.openedConnections > openedBefore || this.timers.now() - startedAt >= stallThresholdMs;
	}

	private async endIdle(connections: ReadonlyArray<CallerConnection | undefined>, cause: ConnectionEndCause): Promise<void> {
		await this.timers.handleInput();
		for (const connection of connections) {
			if (connection?.isIdle) {
				connection.end(cause);
			}
		}
	}

	private track(socket: Socket): void {
		this.openedConnections++;
		if (this.tracked.size >= this.connectionLimit) {
			this.makeRoom();
		}

		const connection = new CallerConnection(socket, this.observer);
		this.tracked.set(socket, connection);
		if (this.tracked.size > this.connectionLimit) {
			connection.end(ConnectionEndCause.Excess);
		}

		socket.once('close', () => {
			this.tracked.delete(socket);
		});
	}

	/** Ends the connection that is most likely of no use: none of its requests is being carried out. */
	private makeRoom(): void {
		const connections = [...this.tracked.entries()];
		const [socket, connection] = connections.find(([, {isReceived, awaitsReplyToInput}]) => !isReceived && awaitsReplyToInput) ?? connections.find(([, {isIdle}]) => isIdle) ?? [];
		if (socket && connection) {
			this.tracked.delete(socket);
			connection.end(ConnectionEndCause.Excess);
		}
	}

	/** Refuses malformed input, and a request that is late, unless the rest of it had arrived. */
	private async handleInputError(error: NodeJS.ErrnoException, socket: Duplex): Promise<void> {
		const connection = this.tracked.get(socket);
		if (connection && getInputStatus(error) === requestTimeout) {
			const {receivedRequests, isReceived} = connection;
			await this.timers.handleInput();
			if (connection.receivedRequests > receivedRequests || (connection.isReceived && !isReceived)) {
				return;
			}
		}

		this.refuseInput(error, socket);
	}

	/** Answers input that is no request as the runtime does, unless its caller would take the answer for that to an earlier request. */
	private refuseInput(error: NodeJS.ErrnoException, socket: Duplex): void {
		const connection = this.tracked.get(socket);
		if (!socket.writable) {
			connection?.end(ConnectionEndCause.Failed, error);
			return;
		}

		const status = getInputStatus(error);
		if (!connection || connection.awaitsReplyToInput) {
			socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
		}

		connection?.end(status === requestTimeout ? ConnectionEndCause.Timeout : ConnectionEndCause.Malformed, error);
	}
}
