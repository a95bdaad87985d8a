import {createServer, type IncomingMessage, type Server} from 'node:http';
import {type Socket} from 'node:net';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {listen} from '../network/listen.js';
import {type Metrics} from '../observation/metrics.js';
import {type createProcedures, Role} from './procedures.js';
import {parseBearerToken, isSameSecret} from './secret.js';

/** Secrets of those who may call. */
export type PeerSecrets = {
	readonly peers: string;
	readonly operators: string;
};

/** Serves the procedures over trpc and HTTP and counts the bytes that this costs. */
export class PeerInterface {
	private readonly server: Server;
	private readonly sockets = new Set<Socket>();
	private closedReceived = 0;
	private closedSent = 0;

	constructor(procedures: ReturnType<typeof createProcedures>, private readonly secrets: PeerSecrets, metrics: Metrics) {
		const handler = createHTTPHandler({
			router: procedures,
			createContext: ({req: request}) => ({role: this.roleOf(request)}),
		});
		this.server = createServer(handler);
		this.server.on('connection', socket => {
			this.watch(socket);
		});
		metrics.gauge('siskinnotch_peer_received_bytes', () => this.closedReceived + this.sum(({bytesRead}) => bytesRead));
		metrics.gauge('siskinnotch_peer_sent_bytes', () => this.closedSent + this.sum(({bytesWritten}) => bytesWritten));
	}

	/** Listens on an address; rejects where it cannot be had. */
	async listen(host: string, port: number): Promise<void> {
		return listen(this.server, host, port);
	}

	/** Stops at once. */
	close(): void {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private watch(socket: Socket): void {
		this.sockets.add(socket);
		socket.on('close', () => {
			this.sockets.delete(socket);
			this.closedReceived += socket.bytesRead;
			this.closedSent += socket.bytesWritten;
		});
	}

	private sum(bytesOf: (socket: Socket) => number): number {
		let total = 0;
		for (const socket of this.sockets) {
			total += bytesOf(socket);
		}

		return total;
	}

	private roleOf(request: IncomingMessage): Role {
		const token = parseBearerToken(request.headers.authorization) ?? '';
		if (isSameSecret(token, this.secrets.peers)) {
			return Role.Peer;
		}

		return isSameSecret(token, this.secrets.operators) ? Role.Operator : Role.Nobody;
	}
}
