/** Why a backend server is suspected. */
export enum SuspicionCause {
	/** Other instances reported the server. */
	Reported = 'reported',
	/** The server did not answer in time, or another one waits for it. It may still be executing requests. */
	Unresponsive = 'unresponsive',
	/** This instance cannot connect to it, and nobody could tell whether the server or the path to it is at fault. */
	Unverified = 'unverified',
	/** The server's address refuses connections, so its process has ended. */
	Refusing = 'refusing',
	/** The server's own answers show that it is failing or leaving. */
	Failing = 'failing',
}
