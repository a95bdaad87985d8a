import {type BackendServer} from './backend-server.js';

/** Decodes entries of the list of backend servers. */
export abstract class ServerDecoder {
	/** Throws if the text is not a valid entry. */
	abstract decode(id: string, text: string): BackendServer;
}
