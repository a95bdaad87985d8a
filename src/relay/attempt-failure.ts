/** Why an attempt ended without a complete response. */
export enum AttemptFailureReason {
	/** No connection was established, so no byte of the request was sent. */
	NotConnected = 'not_connected',
	/** The server's address refused the connection, so no process listens there and no byte was sent. */
	Refused = 'refused',
	/** The connection was closed or reset before the response was complete. */
	ConnectionLost = 'broken',
	/** The data received is not a response to this request. */
	InvalidResponse = 'spoiled',
}

/** An attempt that ended without a complete response. */
export type AttemptFailure = {
	readonly reason: AttemptFailureReason;
	readonly detail: string;
	/** Whether the connection had served an earlier request. */
	readonly wasConnectionReused: boolean;
};

/** Whether no byte of the request was sent, so that the server has certainly not executed it. */
export function isUnsent(reason: AttemptFailureReason): boolean {
	return reason === AttemptFailureReason.NotConnected || reason === AttemptFailureReason.Refused;
}
