import {
	type IncomingMessage, Server, type ServerOptions, type ServerResponse, STATUS_CODES,
} from 'node:http';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {CallerConnection} from './caller-connection.js';
import {type CallerIntake} from './caller-intake.js';
import {ConnectionEndCause} from './connection-end-cause.js';
import {ConnectionInput} from './connection-input.js';
import {type ConnectionObserver} from './connection-observer.js';
import {chooseUnread} from './unread-replies.js';

/** Duration of two turns of the event loop from which the process may have stood still. */
const stallThresholdMs = 20;
/** Interval in milliseconds between checks of the replies that their callers don't read. */
const unreadCheckIntervalMs = 250;
/** Requests of one connection that are carried out at a time; further ones are parsed when replies have left. */
const maxOpenReplies = 256;
const badRequest = 400;
const requestTimeout = 408;
const expectationFailed = 417;
/** Statuses of input that is refused before it is a request, by the code of the runtime's error. */
const inputStatuses: ReadonlyMap<string, number> = new Map([
	['HPE_HEADER_OVERFLOW', 431],
	['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
	['ERR_HTTP_REQUEST_TIMEOUT', requestTimeout],
]);

function getInputStatus(error: NodeJS.ErrnoException): number {
	return inputStatuses.get(error.code ?? '') ?? badRequest;
}

/** Handles a request whose head was read. */
type RequestHandler = (message: IncomingMessage, response: ServerResponse) => void;

/** Replies to a request that expects what the server does not offer, as the runtime does. */
function refuseExpectation(_message: IncomingMessage, response: ServerResponse): void {
	response.writeHead(expectationFailed);
	response.end();
}

/**
An HTTP server for callers that reports connections that it ends and replies that are lost.

It ends a connection as idle, or as too late with a request, only after it has read the input that had arrived: a process that stood still notices the time before the request.
*/
export class CallerServer extends Server {
	/** Largest head of a request in bytes; the runtime reads it for each new connection. */
	declare maxHeaderSize: number;
	private readonly tracked = new Map<Duplex, CallerConnection>();
	private openedConnections = 0;
	private isCheckingReplies = false;

	constructor(options: ServerOptions, handle: RequestHandler, private readonly observer: ConnectionObserver, private readonly intake: CallerIntake) {
		super(options);
		this.on('connection', socket => {
			this.track(socket);
		});
		this.on('request', (message, response) => {
			this.acceptRequest(message, response, handle);
		});
		this.on('checkExpectation', (message: IncomingMessage, response: ServerResponse) => {
			this.acceptRequest(message, response, refuseExpectation);
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
		const {timers} = this.intake;
		const startedAt = timers.now();
		await timers.handleInput();
		return this.openedConnections > openedBefore || timers.now() - startedAt >= stallThresholdMs;
	}

	private async endIdle(connections: ReadonlyArray<CallerConnection | undefined>, cause: ConnectionEndCause): Promise<void> {
		await this.intake.timers.handleInput();
		for (const connection of connections) {
			if (connection?.isIdle) {
				connection.end(cause);
			}
		}
	}

	/** Accepts a connection. One beyond the limit takes the place of the oldest one whose request has not arrived completely, or of an idle one. */
	private track(socket: Socket): void {
		this.openedConnections++;
		const {maxConnections} = this.intake;
		if (this.tracked.size >= maxConnections) {
			this.makeRoom();
		}

		const connection = new CallerConnection(socket, this.observer);
		connection.attachInput(this.createInput(socket, connection));
		this.tracked.set(socket, connection);
		if (this.tracked.size > maxConnections) {
			connection.end(ConnectionEndCause.Excess);
		}

		socket.once('close', () => {
			this.tracked.delete(socket);
		});
	}

	private createInput(socket: Socket, connection: CallerConnection): ConnectionInput {
		const memory = this.intake.createInputMemory(() => {
			connection.end(ConnectionEndCause.Memory);
		});
		const input = new ConnectionInput(socket, {
			scheduler: this.intake.scheduler,
			takesRequests: () => connection.openReplies < maxOpenReplies,
			hasOpenReplies: () => connection.openReplies > 0,
			after: (delay, callback) => {
				this.intake.timers.after(delay, callback);
			},
			recordMemory(bytes) {
				memory.set(bytes);
			},
		});
		socket.once('close', () => {
			input.end();
			memory.release();
		});
		return input;
	}

	private acceptRequest(message: IncomingMessage, response: ServerResponse, handle: RequestHandler): void {
		const connection = this.tracked.get(message.socket);
		if (!connection || message.socket.destroyed) {
			return;
		}

		connection.add(message, response, this.keepAliveTimeout);
		const memory = this.intake.admit(message, () => connection.awaitsReplyToInput, () => {
			if (!message.socket.destroyed) {
				connection.end(ConnectionEndCause.Memory);
			}
		});
		connection.endWith(response, memory);
		if (!message.socket.destroyed) {
			this.scheduleReplyCheck();
			handle(message, response);
		}
	}

	/** Looks from time to time, while there are replies, for callers that don't read theirs. */
	private scheduleReplyCheck(): void {
		if (this.isCheckingReplies) {
			return;
		}

		this.isCheckingReplies = true;
		this.intake.timers.after(unreadCheckIntervalMs, () => {
			this.isCheckingReplies = false;
			const connections = [...this.tracked.values()].filter(({openReplies}) => openReplies > 0);
			for (const connection of chooseUnread(connections, this.intake.maxUnsentBytes)) {
				connection.end(ConnectionEndCause.Unread);
			}

			if (connections.length > 0) {
				this.scheduleReplyCheck();
			}
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
			await this.intake.timers.handleInput();
			if (connection.receivedRequests > receivedRequests || (connection.isReceived && !isReceived) || connection.isInputWaiting) {
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
