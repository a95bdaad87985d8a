import {type BackendServer} from './backend-server.js';

/** The platform's list of backend servers. */
export abstract class ServerList {
	/**
	Resolves when the list changes or the wait ends. The first call, and the first one after a failure, read the list without waiting. Throws PlatformError.

	@param wait - milliseconds
	@returns the whole list
	*/
	abstract next(wait: number): Promise<readonly BackendServer[]>;
}
