import {type BackendServer} from '../pipelines/backend-server.js';
import {type Pipeline} from '../pipelines/pipeline.js';
import {type RelayRequest} from './relay-request.js';

/** One sending of a request to a backend server. */
export type Attempt = {
	readonly request: RelayRequest;
	readonly server: BackendServer;
	/** The stages, where the service's servers hold layer ranges; the first is `server`. */
	readonly pipeline?: Pipeline;
	/** Milliseconds that the request may still take. */
	readonly remaining: number;
	/** Id of the last event that the caller has; undefined for a stream from its beginning. */
	readonly lastEventId?: number;
	/** Whether a connection must be opened for it, so that a reset tells whether anything was sent. */
	readonly needsNewConnection: boolean;
};
