/** Why a backend server is suspected. */
export enum SuspicionCause {
	/** Other instances reported it. */
	Reported = 'reported',
	/** It did not answer in time, or another server waits for it. It may still be executing requests. */
	Unresponsive = 'unresponsive',
	/** Its address refuses connections, so its process has ended. */
	Refusing = 'refusing',
	/** It answers, and what it answers shows that it fails or is leaving. */
	Failing = 'failing',
}
