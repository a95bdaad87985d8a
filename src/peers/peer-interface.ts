import {createServer, type IncomingMessage, type Server} from 'node:http';
import {type Socket} from 'node:net';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {listen} from '../network/listen.js';
import {type Metrics} from '../observation/metrics.js';
import {type createProcedures, Role} from './procedures.js';
import {parseBearerToken, isSameSecret} from './secret.js';

/** Secrets that authenticate the callers. */
export type PeerSecrets = {
	readonly peers: string;
	readonly operators: string;
};

/** Serves the procedures over tRPC and HTTP, and counts the bytes received and sent. */
export class PeerInterface {
	private readonly server: Server;
	private readonly sockets = new Set<Socket>();
	private receivedByClosedSockets = 0;
	private sentByClosedSockets = 0;

	constructor(procedures: ReturnType<typeof createProcedures>, private readonly secrets: PeerSecrets, metrics: Metrics) {
		const handler = createHTTPHandler({
			router: procedures,
			createContext: ({req: request}) => ({role: this.getRole(request)}),
		});
		this.server = createServer(handler);
		this.server.on('connection', socket => {
			this.trackSocket(socket);
		});
		metrics.gauge('siskinnotch_peer_received_bytes', () => this.receivedByClosedSockets + this.sum(({bytesRead}) => bytesRead));
		metrics.gauge('siskinnotch_peer_sent_bytes', () => this.sentByClosedSockets + this.sum(({bytesWritten}) => bytesWritten));
	}

	/** Starts listening on an address; rejects if the address is unavailable. */
	async listen(host: string, port: number): Promise<void> {
		return listen(this.server, host, port);
	}

	/** Stops listening and closes all connections at once. */
	close(): void {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private trackSocket(socket: Socket): void {
		this.sockets.add(socket);
		socket.on('close', () => {
			this.sockets.delete(socket);
			this.receivedByClosedSockets += socket.bytesRead;
			this.sentByClosedSockets += socket.bytesWritten;
		});
	}

	private sum(getBytes: (socket: Socket) => number): number {
		let total = 0;
		for (const socket of this.sockets) {
			total += getBytes(socket);
		}

		return total;
	}

	private getRole(request: IncomingMessage): Role {
		const token = parseBearerToken(request.headers.authorization) ?? '';
		if (isSameSecret(token, this.secrets.peers)) {
			return Role.Peer;
		}

		return isSameSecret(token, this.secrets.operators) ? Role.Operator : Role.Nobody;
	}
}
