import {type Socket} from 'node:net';

type EndListeners = {
	readonly listeners: Set<() => void>;
	readonly notifyAll: () => void;
};

const listenersBySocket = new WeakMap<Socket, EndListeners>();

function watch(socket: Socket): EndListeners {
	const listeners = new Set<() => void>();
	const notifyAll = () => {
		for (const notify of listeners) {
			notify();
		}
	};

	const added = {listeners, notifyAll};
	listenersBySocket.set(socket, added);
	socket.once('end', notifyAll);
	return added;
}

/**
Calls a listener when the other side ends a connection. A caller may send any number of requests without waiting for the replies, so all listeners share one of the socket.

@returns a function that removes the listener
*/
export function listenForEnd(socket: Socket, listener: () => void): () => void {
	const {listeners, notifyAll} = listenersBySocket.get(socket) ?? watch(socket);
	listeners.add(listener);
	return () => {
		listeners.delete(listener);
		if (listeners.size === 0) {
			listenersBySocket.delete(socket);
			socket.off('end', notifyAll);
		}
	};
}
