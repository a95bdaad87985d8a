import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';

/** Statuses of responses that end with their head. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);
const watched = new WeakSet<Socket>();
const closed = new WeakSet<Socket>();

/**
Records how the other side ends a connection.

Where the last bytes and a reset arrive together, the runtime reports the end of the data and no error. But a connection that was reset has no remote address any more. The runtime caches this address, so nothing else may read it before.
*/
export function watchConnectionEnd(socket: Socket): void {
	if (watched.has(socket)) {
		return;
	}

	watched.add(socket);
	// First of all, since another listener may close this side.
	socket.prependListener('end', () => {
		if (socket.remoteAddress !== undefined) {
			closed.add(socket);
		}
	});
}

/** Whether the other side has closed a watched connection, after its last bytes; not if the connection was reset or lost. */
export function wasClosedByPeer(socket: Socket): boolean {
	return closed.has(socket);
}

/** Whether nothing but the end of its connection shows where the body of a response ends. */
export function isDelimitedByConnection({headers, statusCode = 0}: Pick<IncomingMessage, 'headers' | 'statusCode'>): boolean {
	return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined && !bodilessStatuses.has(statusCode);
}
