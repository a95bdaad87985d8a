import {Socket} from 'node:net';

/** The part of a socket's handle that starts and stops reading. The runtime has no public way to stop the reading of a socket at once: a paused one reads on until its buffer is full. */
type ReadHandle = {
	reading: boolean;
	readStop(): number;
};

/** Reads nothing more from a socket, not even in this turn of the event loop. */
export function stopReading(socket: Socket): void {
	const handle = (socket as unknown as {readonly _handle: ReadHandle | null})._handle; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion, @typescript-eslint/no-restricted-types
	if (handle?.reading) {
		handle.reading = false;
		handle.readStop();
	}
}

/** Reads from a socket again. */
export function startReading(socket: Socket): void {
	if (!socket.destroyed) {
		Socket.prototype._read.call(socket, 0);
	}
}
