import {STATUS_CODES, type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {wasClosedByPeer, watchConnectionEnd} from '../network/connection-end.js';
import {type DecisionLog} from '../observation/decision-log.js';
import {getErrorMessage} from '../results/to-failure.js';
import {ConnectionFailureCause} from './connection-failure-cause.js';
import {ConnectionFailure} from './connection-failure.js';
import {ConnectionPurpose} from './connection-purpose.js';
import {type Connector} from './connector.js';
import {TunnelStatus} from './tunnel-status.js';

export type TunnelServerDependencies = {
	/** Opens connections from this instance itself, within the time that the other instance waits. */
	readonly direct: Connector;
	/** Whether an address is that of a listed backend server. */
	readonly isServer: (address: string) => boolean;
	/** Whether tunnels are opened now. */
	readonly isAvailable: () => boolean;
	/** Whether this instance reaches a backend server other than the one at the address. */
	readonly reachesAnother: (address: string) => Promise<boolean>;
	readonly log: DecisionLog;
};

/** Idle time of a tunnel after which the other instance is probed, since one without power closes nothing. */
const keepAliveDelayMs = 1000;
/** Tunnels that are open at a time, each with two connections. */
const maxTunnels = 800;

/**
Transfers bytes between another instance and a backend server.

A connection that the server resets is reset for the other instance too, so that a truncated response does not look complete. The other instance closes its end only when it gives the request up.
*/
function join(instance: Socket, server: Socket): void {
	watchConnectionEnd(server);
	for (const event of ['end', 'close']) {
		server.once(event, () => {
			if (!wasClosedByPeer(server)) {
				instance.resetAndDestroy();
			}
		});
	}

	for (const event of ['end', 'error', 'close']) {
		instance.once(event, () => {
			server.destroy();
		});
	}

	server.pipe(instance);
	instance.pipe(server, {end: false});
}

/** Opens connections to backend servers for other instances that do not reach them. */
export class TunnelServer {
	private open = 0;

	constructor(private readonly dependencies: TunnelServerDependencies) {}

	/** Number of open tunnels. */
	get size(): number {
		return this.open;
	}

	/** Answers a request for a tunnel, and transfers bytes until one end closes it. */
	async accept({url: address = ''}: Pick<IncomingMessage, 'url'>, stream: Duplex): Promise<void> {
		const near = stream as Socket; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		near.on('error', () => {
			near.destroy();
		});
		near.once('end', () => {
			near.destroy();
		});
		// Nothing is sent before the answer, but an end must be noticed.
		near.resume();
		const result = await this.connectOrRefuse(address);
		if (typeof result === 'number') {
			this.dependencies.log.write('tunnel.refused', {address, status: result});
			near.end(`HTTP/1.1 ${result} ${STATUS_CODES[result]}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
			return;
		}

		if (near.destroyed) {
			result.destroy();
			return;
		}

		this.count(near, result);
		near.setNoDelay(true);
		near.setKeepAlive(true, keepAliveDelayMs);
		near.write('HTTP/1.1 200 OK\r\n\r\n');
		join(near, result);
	}

	/** Counts a tunnel until the server's connection is closed and all that it sent is handed to the system, or the other instance is gone. */
	private count(instance: Socket, server: Socket): void {
		this.open++;
		let isOver = false;
		const update = () => {
			if (!isOver && server.closed && (instance.closed || instance.writableFinished)) {
				isOver = true;
				this.open--;
			}
		};

		server.once('close', update);
		instance.once('finish', update);
		instance.once('close', update);
	}

	/** As `connect`; an error beside those of the connection refuses the tunnel, and does not end the process. */
	private async connectOrRefuse(address: string): Promise<Socket | TunnelStatus> {
		try {
			return await this.connect(address);
		} catch (error) {
			this.dependencies.log.warn('tunnel.failed', {address, reason: getErrorMessage(error)});
			return TunnelStatus.Unavailable;
		}
	}

	/** Returns a connection to the server, or the status that says why there is none. */
	private async connect(address: string): Promise<Socket | TunnelStatus> {
		const {direct, isServer, isAvailable, reachesAnother} = this.dependencies;
		if (!isServer(address)) {
			return TunnelStatus.Unknown;
		}

		if (!isAvailable() || this.open >= maxTunnels) {
			return TunnelStatus.Unavailable;
		}

		try {
			return await direct.connect(address, ConnectionPurpose.Tunnel);
		} catch (error) {
			// The fault may be this instance's own path as well.
			if (!await reachesAnother(address)) {
				return TunnelStatus.Unavailable;
			}

			return error instanceof ConnectionFailure && error.reason === ConnectionFailureCause.Refused ? TunnelStatus.Refused : TunnelStatus.Unanswered;
		}
	}
}
