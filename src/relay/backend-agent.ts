import {Agent} from 'node:http';
import {type Socket} from 'node:net';
import {type TimerHandle} from '../time/timer-handle.js';
import {type TimerService} from '../time/timer-service.js';

type KeptSocket = Socket & {
	dropUnexpected?: () => void;
	idleTimer?: TimerHandle;
};

/**
Keeps connections to backend servers for further requests. A connection on which anything arrives while no request waits is dropped, so that leftover bytes never become the answer to a later request.
*/
export class BackendAgent extends Agent {
	/**
	@param idleLimit - milliseconds that a connection is kept idle
	*/
	constructor(private readonly timers: TimerService, private readonly idleLimit: number) {
		super({keepAlive: true, scheduling: 'lifo', noDelay: true});
	}

	// The declared type has no result, but the agent keeps a socket only where this returns true.
	// eslint-disable-next-line @typescript-eslint/strict-void-return
	override keepSocketAlive(socket: KeptSocket): boolean {
		const keep: (kept: KeptSocket) => unknown = super.keepSocketAlive.bind(this);
		if (socket.readableLength > 0 || keep(socket) !== true) {
			return false;
		}

		socket.dropUnexpected = () => {
			socket.destroy();
		};

		socket.on('data', socket.dropUnexpected);
		socket.idleTimer = this.timers.after(this.idleLimit, socket.dropUnexpected);
		return true;
	}

	override reuseSocket(socket: KeptSocket, request: Parameters<Agent['reuseSocket']>[1]): void {
		if (socket.dropUnexpected) {
			socket.off('data', socket.dropUnexpected);
			socket.dropUnexpected = undefined;
		}

		socket.idleTimer?.cancel();
		super.reuseSocket(socket, request);
	}
}
