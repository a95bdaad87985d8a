/** A connection with replies that its caller reads or not. */
export type UnreadConnection = {
	/** Bytes of replies that were not handed to the system. */
	readonly unsentBytes: number;
};

/**
Returns the connections to close so that the unsent bytes of the others are within a limit: those with most of them.

@param limit - bytes of all connections
*/
export function chooseUnread<Connection extends UnreadConnection>(connections: readonly Connection[], limit: number): readonly Connection[] {
	const unread = connections.map(connection => ({connection, bytes: connection.unsentBytes})).filter(({bytes}) => bytes > 0);
	let excess = unread.reduce((sum, {bytes}) => sum + bytes, 0) - limit;
	if (excess <= 0) {
		return [];
	}

	const chosen: Connection[] = [];
	for (const {connection, bytes} of unread.toSorted((a, b) => b.bytes - a.bytes)) {
		if (excess <= 0) {
			break;
		}

		excess -= bytes;
		chosen.push(connection);
	}

	return chosen;
}
