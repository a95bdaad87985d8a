import {type BackendServer} from './backend-server.js';

/** The list of backend servers. */
export abstract class ServerList {
	/**
	Waits until the list changes, but no longer than a time; the first call and the first one after a failure read it at once. Throws PlatformError.

	@param wait - milliseconds
	@returns the whole list
	*/
	abstract next(wait: number): Promise<readonly BackendServer[]>;
}
