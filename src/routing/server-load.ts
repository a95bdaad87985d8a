import {type ServerState} from './server-state.js';

/**
Computes the load of a server relative to its token rate, from the reported requests plus those that this instance has started since the report.

Reports lag behind. Counting its own starts prevents an instance from sending all requests to the server that was idle in the last report.
*/
export function computeLoad(server: ServerState): number {
	const runningAtReport = server.report ? Math.max(server.report.running, server.ownRunning - server.startedSinceReport) : server.ownRunning - server.startedSinceReport;
	return (runningAtReport + server.startedSinceReport) / getTokenRate(server);
}

/** Tokens per second that a server decodes for its layer range, at least 1. */
export function getTokenRate(server: ServerState): number {
	return Math.max(1, server.report?.tokenRate ?? server.listed.tokenRate);
}

/** Tokens per second that the link between two servers carries; infinite if the link is not the bottleneck. */
export function getLinkRate(from: ServerState, to: ServerState): number {
	return from.report?.links[to.listed.id] ?? Number.POSITIVE_INFINITY;
}
