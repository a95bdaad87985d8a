import {type Socket} from 'node:net';
import {type ConnectionPurpose} from './connection-purpose.js';

/** Opens connections to backend servers. */
export abstract class Connector {
	/**
	Opens a connection.

	@param address - IP address and port of the server
	@throws ConnectionFailure
	*/
	abstract connect(address: string, purpose: ConnectionPurpose): Promise<Socket>;
}
