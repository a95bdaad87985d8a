import {type ListedInstance} from '../store/listed-instance.js';
import {type LoadReport} from '../backends/load-report.js';

/** The model version that a server has loaded. Its own report takes precedence over the instance list. */
export function getLoadedVersion({listed, report}: ServerState): string {
	return report?.version ?? listed.version;
}

/** What this instance knows about one backend server. */
export type ServerState = {
	listed: ListedInstance;
	/** The last load report; undefined before the first one. */
	report?: LoadReport;
	/** Requests that this instance is running on the server. */
	ownRunning: number;
	/** Requests that this instance has started on the server since the last report. */
	startedSinceReport: number;
	/** Monotonic time in milliseconds until which the server receives no new requests because a connection failed. */
	suspectUntil: number;
	/** Consecutive connection failures. */
	failures: number;
	/** Whether the server itself reported that it is leaving. */
	isLeaving: boolean;
};
