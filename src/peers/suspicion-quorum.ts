/** A report that a backend server does not work. */
export type SuspicionReport = {
	readonly incarnationId: string;
	/** Whether another backend server says that it waits for this one. */
	readonly isBlocking: boolean;
	/** The instance that reports it. */
	readonly from: string;
};

type Report = {
	readonly from: string;
	readonly at: number;
};

/**
Decides when what other instances found counts here too: at once where a backend server itself says that it waits for the accused one; else when two instances could not reach it, since one may be cut off itself.
*/
export class SuspicionQuorum {
	private readonly reports = new Map<string, Report[]>();

	/**
	@param window - milliseconds within which reports count together
	@param needed - instances that must have failed to reach the server
	*/
	constructor(private readonly window: number, private readonly needed: number) {}

	/** Takes over a report; true where the server is to be suspected. */
	report({incarnationId: life, isBlocking, from}: SuspicionReport, now: number): boolean {
		if (isBlocking) {
			return true;
		}

		const recent = (this.reports.get(life) ?? []).filter(report => now - report.at <= this.window && report.from !== from);
		recent.push({from, at: now});
		this.reports.set(life, recent);
		return recent.length >= this.needed;
	}
}
