import {type ConnectionFailureCause} from './connection-failure-cause.js';

/** No connection to a backend server could be established, so that nothing was sent to it. */
export class ConnectionFailure extends Error {
	constructor(message: string, readonly reason: ConnectionFailureCause) {
		super(message);
		this.name = 'ConnectionFailure';
	}
}
