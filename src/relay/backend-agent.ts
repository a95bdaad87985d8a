import {Agent} from 'node:http';
import {type Socket} from 'node:net';

type KeptSocket = Socket & {dropUnexpected?: (chunk: unknown) => void};

/**
Keeps connections to backend servers for further requests. A connection on which anything arrives while no request waits is dropped, so that leftover bytes never become the answer to a later request.
*/
export class BackendAgent extends Agent {
	/**
	@param idleLimit - milliseconds that a connection is kept idle
	*/
	constructor(private readonly idleLimit: number) {
		super({keepAlive: true, scheduling: 'lifo', noDelay: true});
	}

	// eslint-disable-next-line @typescript-eslint/naming-convention
	override keepSocketAlive(socket: KeptSocket): boolean {
		if (socket.readableLength > 0 || !(super.keepSocketAlive(socket) as unknown as boolean)) {
			return false;
		}

		if (socket.timeout === undefined || socket.timeout === 0 || socket.timeout > this.idleLimit) {
			socket.setTimeout(this.idleLimit);
		}

		socket.dropUnexpected = () => {
			socket.destroy();
		};
		socket.on('data', socket.dropUnexpected);
		return true;
	}

	override reuseSocket(socket: KeptSocket, request: Parameters<Agent['reuseSocket']>[1]): void {
		if (socket.dropUnexpected) {
			socket.off('data', socket.dropUnexpected);
			socket.dropUnexpected = undefined;
		}

		socket.setTimeout(0);
		super.reuseSocket(socket, request);
	}
}
