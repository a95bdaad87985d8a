import {type Duplex} from 'node:stream';
import {type Socket} from 'node:net';

const tunnelled = new WeakSet<Duplex>();

/** Marks a connection that leads through another instance. */
export function markTunnelled(socket: Socket): Socket {
	tunnelled.add(socket);
	return socket;
}

/** Whether a connection leads through another instance. */
export function isTunnelled(socket: Duplex): boolean {
	return tunnelled.has(socket);
}
