import {createServer} from 'node:net';

/** Below the ports that the system gives to outgoing connections, one of which could take a port between two uses of it. */
const firstPort = 10_000;
const lastPort = 32_000;
const taken = new Set();

/** Whether a port of a loopback address is free. */
export async function isFree(host, port) {
	const server = createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Finds a free port of a loopback address; none is given twice. */
export async function findPort(host) {
	for (;;) {
		const port = firstPort + Math.floor(Math.random() * (lastPort - firstPort));
		if (!taken.has(port) && await isFree(host, port)) { // eslint-disable-line no-await-in-loop
			taken.add(port);
			return port;
		}
	}
}
