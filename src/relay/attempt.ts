import {type BackendServer} from '../pipelines/backend-server.js';
import {type Pipeline} from '../pipelines/pipeline.js';
import {type RelayRequest} from './relay-request.js';

/** One transmission of a request to a backend server. */
export type Attempt = {
	readonly request: RelayRequest;
	readonly server: BackendServer;
	/** The stages, if the service's servers hold layer ranges; `server` is the first stage. */
	readonly pipeline?: Pipeline;
	/** Milliseconds left until the request's deadline. */
	readonly remaining: number;
	/** Id of the last event that the caller has received; undefined for a stream from its beginning. */
	readonly lastEventId?: number;
	/** Whether to open a new connection, so that a reset shows whether anything was sent. */
	readonly needsNewConnection: boolean;
};
