import {type ListedInstance} from '../store/listed-instance.js';
import {type LoadReport} from '../backends/load-report.js';

/** The version of the model that a server has, by its own report before the list. */
export function getLoadedVersion({listed, report}: ServerState): string {
	return report?.version ?? listed.version;
}

/** What this instance knows of one backend server. */
export type ServerState = {
	listed: ListedInstance;
	/** The server's last report; undefined before the first. */
	report?: LoadReport;
	/** Requests that this instance runs on it. */
	ownRunning: number;
	/** Requests that this instance has started on it since the last report. */
	startedSinceReport: number;
	/** Monotonic time in milliseconds until which it gets no new work because a connection failed. */
	suspectUntil: number;
	/** Consecutive failures of its connections. */
	failures: number;
	/** Whether it said itself that it is leaving. */
	isLeaving: boolean;
};
