/** Counters of a soak run. All fields from `actionsRunTwice` on are violations and must be 0, except `slowestSpreadMs`. */
export class Tally {
	requests = 0;
	whole = 0;
	refusedNotRun = 0;
	/** Requests that may or may not have been executed, as the response states or because the connection failed. */
	unknownOutcome = 0;
	interrupted = 0;
	/** Completions whose caller disconnected on purpose. */
	abandoned = 0;
	connectionsLost = 0;
	actions = 0;
	actionsRun = 0;
	sheetsAccepted = 0;
	/** Sheets that were refused, or whose submission failed. */
	sheetsLost = 0;
	faults = 0;
	actionsRunTwice = 0;
	/** Actions that were executed although every response said not_run. */
	notRunButRun = 0;
	wrongTokens = 0;
	layerViolations = 0;
	/** Ready instances that returned to an older version, or lacked a version longer than the limit. */
	configurationReverts = 0;
	/** Connections lost at an entry instance that had no fault, and planned stops with an exit code other than 0. */
	cutOffByStop = 0;
	/** Work started at a leaving server after the grace period. */
	workAfterLeaving = 0;
	/** Usage records above the limits of their workspace. */
	overLimit = 0;
	invariantFailures = 0;
	/** Refusals without Retry-After that must have one. */
	missingRetryAfter = 0;
	/** Longest time from the acceptance of a version until all ready instances had it. */
	slowestSpreadMs = 0;
	readonly notes: string[] = [];

	/** Adds a description of a violation. Only the first 20 are kept. */
	addNote(text: string): void {
		if (this.notes.length < 20) {
			this.notes.push(text);
		}
	}

	/** Returns the total number of violations. */
	countViolations(): number {
		return this.actionsRunTwice + this.notRunButRun + this.wrongTokens + this.layerViolations + this.configurationReverts
			+ this.cutOffByStop + this.workAfterLeaving + this.overLimit + this.invariantFailures + this.missingRetryAfter;
	}
}
