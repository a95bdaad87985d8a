/** What a connection to a backend server is opened for. */
export enum ConnectionPurpose {
	/** A request for which no idle connection is kept. */
	Request = 'request',
	/** A request that must not use a kept connection. */
	IsolatedRequest = 'isolated_request',
	/** A query for the health or state of the server. */
	Query = 'query',
	/** A placement order. */
	Order = 'order',
	/** Finding out whether this instance reaches any server, or this one. */
	Probe = 'probe',
	/** Another instance, whose bytes are transferred. */
	Tunnel = 'tunnel',
}
