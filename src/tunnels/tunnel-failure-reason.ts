/** Why no tunnel through another instance could be opened. */
export enum TunnelFailureReason {
	/** The backend server refused the connection, though the other instance reaches others. */
	Refused = 'refused',
	/** The backend server did not answer, though the other instance reaches others. */
	Unanswered = 'unanswered',
	/** The other instance does not know the backend server. */
	Unknown = 'unknown',
	/** The other instance did not try, did not answer, or cannot tell. */
	Unavailable = 'unavailable',
}
