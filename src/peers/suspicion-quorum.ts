/** A report that a backend server does not work. */
export type SuspicionReport = {
	/** Incarnation id of the suspected server. */
	readonly incarnationId: string;
	/** Whether another backend server reports that it waits for this one. */
	readonly isBlocking: boolean;
	/** Id of the reporting instance. */
	readonly from: string;
};

type ReceivedReport = Pick<SuspicionReport, 'isBlocking' | 'from'> & {
	readonly receivedAt: number;
};

/**
Decides when reports of instances make this one suspect a backend server.

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
		const others = this.findRecent(incarnationId, now).filter(report => report.from !== from || report.isBlocking !== isBlocking);
		const reports = [...others, {isBlocking, from, receivedAt: now}];
		this.reports.set(incarnationId, reports);
		return isBlocking || this.isQuorum(reports);
	}

	/** Whether the recent reports suffice, so that a further one would tell nothing new. */
	isSufficient(incarnationId: string, now: number): boolean {
		const recent = this.findRecent(incarnationId, now);
		return recent.some(({isBlocking}) => isBlocking) || this.isQuorum(recent);
	}

	/** Removes the reports that are no longer recent. */
	removeOld(now: number): void {
		for (const incarnationId of this.reports.keys()) {
			if (this.findRecent(incarnationId, now).length === 0) {
				this.reports.delete(incarnationId);
			}
		}
	}

	private isQuorum(reports: readonly ReceivedReport[]): boolean {
		return reports.filter(({isBlocking}) => !isBlocking).length >= this.quorum;
	}

	private findRecent(incarnationId: string, now: number): readonly ReceivedReport[] {
		return (this.reports.get(incarnationId) ?? []).filter(({receivedAt}) => now - receivedAt <= this.window);
	}
}
