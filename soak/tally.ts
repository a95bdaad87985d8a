/** Counters of a soak run. All fields from `actionsRunTwice` on are violations and must be 0, except `slowestSpreadMs`. */
export class Tally {
	requests = 0;
	whole = 0;
	refusedNotRun = 0;
	unknownOutcome = 0;
	interrupted = 0;
	abandoned = 0;
	connectionsLost = 0;
	actions = 0;
	actionsRun = 0;
	sheetsAccepted = 0;
	sheetsLost = 0;
	faults = 0;
	actionsRunTwice = 0;
	notRunButRun = 0;
	wrongTokens = 0;
	layerViolations = 0;
	configurationReverts = 0;
	cutOffByStop = 0;
	workAfterLeaving = 0;
	overLimit = 0;
	invariantFailures = 0;
	missingRetryAfter = 0;
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
