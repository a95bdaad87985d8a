import {createServer, type Server} from 'node:net';

const firstGuardPort = 19_000;
const blockCount = 30;
const firstPort = 20_000;
const blockSize = 400;

let ownBlock: {readonly server: Server; readonly block: number} | undefined;
let usedPorts = 0;

/** Listens on a loopback port; undefined if the port is in use. */
async function tryListen(port: number): Promise<Server | undefined> {
	const server = createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(port, '127.0.0.1', () => {
			resolve(server);
		});
	});
}

/** Reserves a block of ports for this process by listening on the guard port of the block, so that concurrent test processes use different ports. Throws if all blocks are reserved. */
async function reserveBlock(): Promise<number> {
	for (let block = 0; block < blockCount; block++) {
		const server = await tryListen(firstGuardPort + block); // eslint-disable-line no-await-in-loop
		if (server) {
			server.unref();
			ownBlock = {server, block};
			return block;
		}
	}

	throw new Error('all port blocks are in use by other processes');
}

let reservation: Promise<number> | undefined;

/** Finds a loopback port on which no process listens. */
export async function freePort(): Promise<number> {
	reservation ??= reserveBlock();
	const block = ownBlock?.block ?? await reservation;
	for (;;) {
		const port = firstPort + (block * blockSize) + (usedPorts++ % blockSize);
		const server = await tryListen(port); // eslint-disable-line no-await-in-loop
		if (server) {
			await new Promise(resolve => { // eslint-disable-line no-await-in-loop
				server.close(resolve);
			});
			return port;
		}
	}
}
