/** A report of another instance that a backend server does not work. */
export type SuspicionReport = {
	/** Incarnation id of the suspected server. */
	readonly incarnationId: string;
	/** Whether another backend server reports that it waits for this one. */
	readonly isBlocking: boolean;
	/** Id of the reporting instance. */
	readonly from: string;
};

type ReceivedReport = {
	readonly from: string;
	readonly receivedAt: number;
};

/**
Decides when reports of other instances make this one suspect a backend server.

A report that another backend server waits for the suspected one is sufficient on its own. Otherwise a number of instances must have failed to reach the server, since a single one may be cut off itself.
*/
export class SuspicionQuorum {
	private readonly reports = new Map<string, ReceivedReport[]>();

	/**
	@param window - milliseconds after which a report is ignored
	@param quorum - number of instances that must have failed to reach the server
	*/
	constructor(private readonly window: number, private readonly quorum: number) {}

	/** Adds a report; returns whether the server is to be suspected. */
	report({incarnationId, isBlocking, from}: SuspicionReport, now: number): boolean {
		if (isBlocking) {
			return true;
		}

		const recent = (this.reports.get(incarnationId) ?? []).filter(report => now - report.receivedAt <= this.window && report.from !== from);
		recent.push({from, receivedAt: now});
		this.reports.set(incarnationId, recent);
		return recent.length >= this.quorum;
	}
}
