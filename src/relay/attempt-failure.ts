/** Why an attempt ended without a whole answer. */
export enum AttemptFailureReason {
	/** No connection was made, so nothing of the request left. */
	NotConnected = 'not_connected',
	/** The connection ended or was reset before the answer was whole. */
	ConnectionLost = 'broken',
	/** What came is not an answer to this request. */
	InvalidResponse = 'spoiled',
}

/** An attempt that ended without a whole answer. */
export type AttemptFailure = {
	readonly reason: AttemptFailureReason;
	readonly detail: string;
	/** Whether the connection had served an earlier request. */
	readonly wasConnectionReused: boolean;
};
