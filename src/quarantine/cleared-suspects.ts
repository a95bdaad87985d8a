/** Remembers the suspects that were cleared, since a backend server ran them without crashing. */
export class ClearedSuspects {
	/** Monotonic times in milliseconds of the latest progress, oldest first. */
	private readonly progress = new Map<string, number>();

	/**
	@param memory - milliseconds for which a part is remembered
	@param maxParts - number of parts that are remembered; the oldest are dropped
	*/
	constructor(private readonly memory: number, private readonly maxParts: number) {}

	has(part: string, now: number): boolean {
		return now - (this.progress.get(part) ?? Number.NEGATIVE_INFINITY) <= this.memory;
	}

	add(part: string, now: number): void {
		this.progress.delete(part);
		this.progress.set(part, now);
		if (this.progress.size > this.maxParts) {
			const [oldest] = this.progress.keys();
			this.progress.delete(oldest);
		}
	}
}
