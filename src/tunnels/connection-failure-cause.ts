/** Why no connection to a backend server could be established. */
export enum ConnectionFailureCause {
	/** The server's address refused it; if there are other instances, one that reaches backend servers was refused as well. */
	Refused = 'refused',
	/** The server did not answer; if there are other instances, one that reaches backend servers got no answer either. */
	Unanswered = 'unanswered',
	/** The connection failed here, and no other instance could tell whether the server or the path to it is at fault. */
	Unverified = 'unverified',
}
