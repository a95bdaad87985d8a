/** Number of workspaces from which those without a claim are forgotten. */
const maxWorkspaces = 1000;

/** The virtual times of workspaces that share a capacity by start-time fair queueing (P. Goyal et al., 1996). The workspace with the lowest start goes first. */
export class VirtualTimes {
	private readonly times = new Map<string, number>();
	private current = 0;

	/** Returns the virtual time at which the next request of a workspace starts. A workspace that was idle starts at the current one, so it accumulates no credit. */
	getStart(workspace: string): number {
		return Math.max(this.current, this.times.get(workspace) ?? 0);
	}

	/** Adds the cost of a request that starts without waiting. */
	charge(workspace: string, cost: number, share: number): void {
		this.forgetIdle();
		this.times.set(workspace, this.getStart(workspace) + (cost / share));
	}

	/** Adds the cost of a request that starts as the next one. */
	serve(workspace: string, cost: number, share: number): void {
		this.current = this.getStart(workspace);
		this.charge(workspace, cost, share);
	}

	private forgetIdle(): void {
		if (this.times.size < maxWorkspaces) {
			return;
		}

		for (const [workspace, time] of this.times) {
			if (time <= this.current) {
				this.times.delete(workspace);
			}
		}
	}
}
