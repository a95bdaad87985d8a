import {Agent, type ClientRequestArgs} from 'node:http';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {splitAddress} from '../settings/split-address.js';
import {type TimerHandle} from '../time/timer-handle.js';
import {type TimerService} from '../time/timer-service.js';
import {ConnectionPurpose} from '../tunnels/connection-purpose.js';
import {type Connector} from '../tunnels/connector.js';
import {connectForAgent} from '../tunnels/connector-agent.js';
import {isTunnelled} from '../tunnels/tunnelled-socket.js';

type PooledSocket = Socket & {
	destroyOnData?: () => void;
	idleTimer?: TimerHandle;
};

/**
Pools connections to backend servers. A pooled connection that receives data while no request is pending is destroyed, so that leftover bytes never become the response to a later request.
*/
export class BackendAgent extends Agent {
	/**
	@param idleTimeout - milliseconds after which an idle connection is closed; also bounds how long a closed one is remembered
	@param connector - opens the connections; the agent itself does if undefined
	*/
	constructor(private readonly timers: TimerService, private readonly idleTimeout: number, private readonly connector?: Connector) {
		super({keepAlive: true, scheduling: 'lifo', noDelay: true});
	}

	/** Closes the idle connections to an address, or all of them if it is undefined. */
	closeIdle(address: string | undefined): void {
		const names = address === undefined ? Object.keys(this.freeSockets) : [this.getName(splitAddress(address))];
		for (const socket of names.flatMap(name => this.freeSockets[name] ?? [])) {
			socket.destroy();
		}
	}

	override createConnection(options: ClientRequestArgs, callback?: (error: Error | null, stream: Duplex) => void): Duplex | null | undefined { // eslint-disable-line @typescript-eslint/no-restricted-types
		if (!this.connector || !callback) {
			return super.createConnection(options, callback);
		}

		void connectForAgent(this.connector, ConnectionPurpose.Request, options, callback);
		return undefined;
	}

	// The type declarations give this method no result, but the agent pools a socket only if it returns true.
	// eslint-disable-next-line @typescript-eslint/strict-void-return
	override keepSocketAlive(socket: PooledSocket): boolean {
		const keepAlive: (pooled: PooledSocket) => unknown = super.keepSocketAlive.bind(this);
		// A connection through another instance would be cut off when that one stops.
		if (socket.readableLength > 0 || isTunnelled(socket) || keepAlive(socket) !== true) {
			return false;
		}

		socket.destroyOnData = () => {
			socket.destroy();
		};

		socket.on('data', socket.destroyOnData);
		socket.idleTimer = this.timers.after(this.idleTimeout, socket.destroyOnData);
		return true;
	}

	override reuseSocket(socket: PooledSocket, request: Parameters<Agent['reuseSocket']>[1]): void {
		if (socket.destroyOnData) {
			socket.off('data', socket.destroyOnData);
			socket.destroyOnData = undefined;
		}

		socket.idleTimer?.cancel();
		super.reuseSocket(socket, request);
	}
}
