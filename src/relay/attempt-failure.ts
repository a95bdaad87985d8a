import {SuspicionCause} from '../pipelines/suspicion-cause.js';

/** Why an attempt ended without a complete response. */
export enum AttemptFailureReason {
	/** No connection was established, so no byte of the request was sent. */
	NotConnected = 'not_connected',
	/** The server's address refused the connection, so no process listens there and no byte was sent. */
	Refused = 'refused',
	/** No connection was established, and nobody could tell whether the server or the path to it is at fault. */
	Unverified = 'unverified',
	/** The connection was closed or reset before the response was complete. */
	ConnectionLost = 'broken',
	/** The data received is not a response to this request. */
	InvalidResponse = 'spoiled',
	/** The response takes more processing than any sound one, so its end is not worth waiting for. */
	ExcessiveResponse = 'excessive',
}

/** An attempt that ended without a complete response. */
export type AttemptFailure = {
	readonly reason: AttemptFailureReason;
	readonly detail: string;
	/** Whether the connection had served an earlier request. */
	readonly wasConnectionReused: boolean;
};

/** Suspicion causes of the failures before which nothing was sent. */
const unsentCauses: ReadonlyMap<AttemptFailureReason, SuspicionCause> = new Map([
	[AttemptFailureReason.NotConnected, SuspicionCause.Unresponsive],
	[AttemptFailureReason.Refused, SuspicionCause.Refusing],
	[AttemptFailureReason.Unverified, SuspicionCause.Unverified],
]);

/** Whether no byte of the request was sent, so that the server has certainly not executed it. */
export function isUnsent(reason: AttemptFailureReason): boolean {
	return unsentCauses.has(reason);
}

/** Returns why a server to which nothing could be sent is suspected. */
export function getSuspicionCause(reason: AttemptFailureReason): SuspicionCause {
	return unsentCauses.get(reason) ?? SuspicionCause.Unresponsive;
}
