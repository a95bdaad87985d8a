import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';

type Execution = {
	readonly server: BackendServer;
	/** Attempts that were or may have been executed on the server. */
	attempts: number;
};

/** Records the backend servers on which a request was or may have been executed, to keep within the limit of its route. */
export class ExecutionHistory {
	private readonly executions = new Map<string, Execution>();
	private readonly ended = new Set<string>();

	/**
	@param maxServers - number of backend servers that the route allows; those that ended don't count, those that are leaving do
	@param isAlive - whether a server may still be executing
	*/
	constructor(private readonly maxServers: number, private readonly isAlive: (server: BackendServer) => boolean) {}

	/** Whether the request may have been executed on any server. */
	get mayHaveExecuted(): boolean {
		return this.executions.size > 0;
	}

	/** Number of servers that count against the limit of the route. */
	get countedServers(): number {
		return this.findLiveIncarnations().length;
	}

	/** Number of servers on which the request may have been executed and which are not counted, because they ended. */
	get uncountedServers(): number {
		return this.executions.size - this.countedServers;
	}

	/** Whether the request may be sent to a server that has not executed it. */
	get allowsNewServer(): boolean {
		return this.countedServers < this.maxServers;
	}

	/** Incarnation ids of the servers to select from if no new one is allowed; undefined if any may be selected. */
	get allowedIncarnations(): ReadonlySet<string> | undefined {
		return this.allowsNewServer ? undefined : new Set(this.findLiveIncarnations());
	}

	/** Records that the request is sent to a server. */
	recordStart(server: BackendServer): void {
		const incarnationId = getIncarnationId(server);
		const execution = this.executions.get(incarnationId) ?? {server, attempts: 0};
		execution.attempts++;
		this.executions.set(incarnationId, execution);
		this.ended.delete(incarnationId);
	}

	/** Reverts one `recordStart`, because the server did not execute that attempt. */
	revertStart(server: BackendServer): void {
		const incarnationId = getIncarnationId(server);
		const execution = this.executions.get(incarnationId);
		if (!execution) {
			return;
		}

		execution.attempts--;
		if (execution.attempts === 0) {
			this.executions.delete(incarnationId);
		}
	}

	private findLiveIncarnations(): readonly string[] {
		for (const [incarnationId, {server}] of this.executions) {
			if (!this.isAlive(server)) {
				this.ended.add(incarnationId);
			}
		}

		return [...this.executions.keys()].filter(incarnationId => !this.ended.has(incarnationId));
	}
}
