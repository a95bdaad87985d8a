import {isConnectionRefused} from '../network/is-connection-refused.js';
import {SuspicionCause} from '../pipelines/suspicion-cause.js';
import {ConnectionFailureCause} from '../tunnels/connection-failure-cause.js';
import {ConnectionFailure} from '../tunnels/connection-failure.js';

const causes: Readonly<Record<ConnectionFailureCause, SuspicionCause>> = {
	[ConnectionFailureCause.Refused]: SuspicionCause.Refusing,
	[ConnectionFailureCause.Unanswered]: SuspicionCause.Unresponsive,
	[ConnectionFailureCause.Unverified]: SuspicionCause.Unverified,
};

/** Returns why a server is suspected to which no connection was established; undefined if there was a connection. */
export function getConnectionCause(error: unknown): SuspicionCause | undefined {
	if (error instanceof ConnectionFailure) {
		return causes[error.reason];
	}

	return isConnectionRefused(error) ? SuspicionCause.Refusing : undefined;
}
