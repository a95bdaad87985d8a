import {createServer, type Server} from 'node:net';

const firstGuardPort = 19_000;
const blockCount = 30;
const firstPort = 20_000;
const blockSize = 400;

let ownBlock: {readonly server: Server; readonly block: number} | undefined;
let usedPorts = 0;

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

/** Takes a block of ports for this process by listening on its guard port, so that no two processes share one. */
async function reserveBlock(): Promise<number> {
	for (let block = 0; block < blockCount; block++) {
		const server = await tryListen(firstGuardPort + block); // eslint-disable-line no-await-in-loop
		if (server) {
			server.unref();
			ownBlock = {server, block};
			return block;
		}
	}

	throw new Error('no block of ports is free');
}

let reservation: Promise<number> | undefined;

/** A port of loopback that nobody listens on. */
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
