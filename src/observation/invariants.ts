import {type Logger} from 'winston';

/**
Checks invariants at run time. Violations are counted and logged, so that a fault-injection run can be judged by the counter.

@example
```
invariants.check(index === last + 1, 'token indexes rise by one', `${index} after ${last}`);
```
*/
export class Invariants {
	private readonly counts = new Map<string, number>();

	constructor(private readonly log?: Logger) {}

	/** Counts and logs a violation unless the condition holds. Returns the condition. */
	check(isHeld: boolean, invariant: string, detail: string): boolean {
		if (!isHeld) {
			this.counts.set(invariant, (this.counts.get(invariant) ?? 0) + 1);
			this.log?.error(`Invariant violated: ${invariant}: ${detail}.`);
		}

		return isHeld;
	}

	/** Number of violations since the start, by invariant. */
	violations(): ReadonlyMap<string, number> {
		return this.counts;
	}
}
