/** Status codes with which an instance answers a request for a tunnel. */
export enum TunnelStatus {
	Opened = 200,
	/** The address is none of a listed backend server. */
	Unknown = 404,
	/** The server refused the connection. */
	Refused = 502,
	/** The instance opens no tunnel now, or cannot tell whether the server or its own path is at fault. */
	Unavailable = 503,
	/** The server did not answer. */
	Unanswered = 504,
}
