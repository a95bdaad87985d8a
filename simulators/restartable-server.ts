import {createServer, type RequestListener, type Server} from 'node:http';
import {type Socket} from 'node:net';
import {listen} from '../src/network/listen.js';
import {type TimerService} from '../src/time/timer-service.js';
import {getListeningPort} from './json-server.js';

const host = '127.0.0.1';

/** An HTTP server on loopback that can crash and start again at the same port. */
export class RestartableServer {
	private readonly server: Server;
	private readonly sockets = new Set<Socket>();
	private listeningPort = 0;
	private isClosed = false;

	constructor(listener: RequestListener, private readonly timers: TimerService) {
		this.server = createServer(listener);
		this.server.on('connection', socket => {
			this.sockets.add(socket);
			socket.on('close', () => {
				this.sockets.delete(socket);
			});
		});
	}

	/** The port of the latest start. */
	get port(): number {
		return this.listeningPort;
	}

	/** Whether the server accepts connections. */
	get isListening(): boolean {
		return this.server.listening;
	}

	/** Starts to listen. Resolves to the port. */
	async listen(port: number): Promise<number> {
		await listen(this.server, host, port);
		this.listeningPort = getListeningPort(this.server);
		return this.listeningPort;
	}

	/**
	Resets all connections at once and refuses new ones until the server listens again, at the same port. Resolves then.

	@param pause - milliseconds without the server
	*/
	async crash(pause: number): Promise<void> {
		this.server.close();
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}

		await this.timers.sleep(pause);
		if (!this.isClosed) {
			await listen(this.server, host, this.listeningPort);
		}
	}

	/** Closes all connections and stops listening for good. */
	async close(): Promise<void> {
		this.isClosed = true;
		this.server.closeAllConnections();
		await new Promise(resolve => {
			this.server.close(resolve);
		});
	}
}
