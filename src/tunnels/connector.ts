import {type Socket} from 'node:net';

/** Opens connections to backend servers. */
export abstract class Connector {
	/**
	Opens a connection.

	@param address - IP address and port of the server
	@throws ConnectionFailure
	*/
	abstract connect(address: string): Promise<Socket>;
}
