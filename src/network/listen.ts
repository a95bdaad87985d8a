import {type Server} from 'node:net';

/** Begins to listen on an address. Rejects where it cannot be had. */
export async function listen(server: Server, host: string, port: number): Promise<void> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, () => {
			server.off('error', reject);
			resolve();
		});
	});
}
