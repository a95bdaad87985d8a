/** More urgent starts after which a less urgent request is entitled to start, so that at least one start in ten is its. */
const startsBeforeEntitlement = 9;

/** Counts starts of more urgent requests while less urgent ones wait, so that no priority starves. */
export class StartGuarantee {
	private moreUrgentStarts = 0;

	/** Whether a less urgent request is entitled to the next start. */
	get isDue(): boolean {
		return this.moreUrgentStarts >= startsBeforeEntitlement;
	}

	/** Records a start, here or elsewhere, while a less urgent request waits. */
	recordMoreUrgent(): void {
		this.moreUrgentStarts++;
	}

	/** Records a start of an entitled request, or of one while no less urgent one waits. */
	reset(): void {
		this.moreUrgentStarts = 0;
	}
}
