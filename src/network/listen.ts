import {type Server} from 'node:net';

/** Starts listening on an address. Rejects if the address cannot be bound. */
export async function listen(server: Server, host: string, port: number): Promise<void> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, () => {
			server.off('error', reject);
			resolve();
		});
	});
}
