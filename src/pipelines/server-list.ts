import {type BackendServer} from './backend-server.js';

/** The list of backend servers. */
export abstract class ServerList {
	/** Reads the whole list. Throws PlatformError. */
	abstract read(): Promise<readonly BackendServer[]>;
}
