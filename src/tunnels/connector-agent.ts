import {Agent, type ClientRequestArgs} from 'node:http';
import {PassThrough, type Duplex} from 'node:stream';
import {type ConnectionPurpose} from './connection-purpose.js';
import {type Connector} from './connector.js';

type ConnectionCallback = (error: Error | null, stream: Duplex) => void; // eslint-disable-line @typescript-eslint/no-restricted-types

/** Opens a connection for an HTTP agent. */
export async function connectForAgent(connector: Connector, purpose: ConnectionPurpose, {host, port}: ClientRequestArgs, callback: ConnectionCallback): Promise<void> {
	let socket: Duplex;
	try {
		socket = await connector.connect(`${host}:${port}`, purpose);
	} catch (error) {
		// The agent does not use the stream of a connection that failed.
		callback(error instanceof Error ? error : new Error(String(error)), new PassThrough());
		return;
	}

	callback(null, socket);
}

/** Opens a connection of a connector for each request. */
export class ConnectorAgent extends Agent {
	constructor(private readonly connector: Connector, private readonly purpose: ConnectionPurpose) {
		super();
	}

	override createConnection(options: ClientRequestArgs, callback: ConnectionCallback): undefined {
		void connectForAgent(this.connector, this.purpose, options, callback);
		return undefined;
	}
}
