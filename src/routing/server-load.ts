import {type ServerState} from './server-state.js';

/**
Work on a server relative to its rate: the reported requests plus those that this instance has started since the report.

The report lags; counting one's own starts keeps an instance from sending everything to the server that looked idle last.
*/
export function computeLoad(server: ServerState): number {
	const reported = server.report ? Math.max(server.report.running, server.ownRunning - server.startedSinceReport) : server.ownRunning - server.startedSinceReport;
	return (reported + server.startedSinceReport) / getTokenRate(server);
}

/** Tokens a second that the server's range decodes. */
export function getTokenRate(server: ServerState): number {
	return Math.max(1, server.report?.tokenRate ?? server.listed.tokenRate);
}

/** Tokens a second that the link from one server to the next carries; infinite where it is not the limit. */
export function getLinkRate(from: ServerState, to: ServerState): number {
	return from.report?.links[to.listed.id] ?? Number.POSITIVE_INFINITY;
}
