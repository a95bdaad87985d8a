import {Agent} from 'node:http';
import {type Socket} from 'node:net';
import {type TimerHandle} from '../time/timer-handle.js';
import {type TimerService} from '../time/timer-service.js';

type PooledSocket = Socket & {
	destroyOnData?: () => void;
	idleTimer?: TimerHandle;
};

/**
Pools connections to backend servers. A pooled connection that receives data while no request is pending is destroyed, so that leftover bytes never become the response to a later request.
*/
export class BackendAgent extends Agent {
	/**
	@param idleTimeout - milliseconds after which an idle connection is closed
	*/
	constructor(private readonly timers: TimerService, private readonly idleTimeout: number) {
		super({keepAlive: true, scheduling: 'lifo', noDelay: true});
	}

	// The type declarations give this method no result, but the agent pools a socket only if it returns true.
	// eslint-disable-next-line @typescript-eslint/strict-void-return
	override keepSocketAlive(socket: PooledSocket): boolean {
		const keepAlive: (pooled: PooledSocket) => unknown = super.keepSocketAlive.bind(this);
		if (socket.readableLength > 0 || keepAlive(socket) !== true) {
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
