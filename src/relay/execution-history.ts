import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';

/** The backend servers on which a request ran or may have run, so that it runs on no more of them than its route allows. */
export class ExecutionHistory {
	private readonly servers = new Map<string, BackendServer>();
	private readonly ended = new Set<string>();
	private isLatestNew = true;

	/**
	@param most - backend servers that the route allows; those that ended do not count, those that only leave do
	@param isLiving - whether a server may still run
	*/
	constructor(private readonly most: number, private readonly isLiving: (server: BackendServer) => boolean) {}

	/** Whether the request may have run anywhere. */
	get mayHaveExecuted(): boolean {
		return this.servers.size > 0;
	}

	/** Whether the request may run on a server on which it has not run. */
	get allowsNewServer(): boolean {
		return this.living().length < this.most;
	}

	/** Lives of the servers to choose from when no further one is allowed; undefined where any may be chosen. */
	get allowedIncarnations(): ReadonlySet<string> | undefined {
		return this.allowsNewServer ? undefined : new Set(this.living());
	}

	/** The request is sent to a server. */
	recordStart(server: BackendServer): void {
		this.isLatestNew = !this.servers.has(getIncarnationId(server));
		this.servers.set(getIncarnationId(server), server);
		this.ended.delete(getIncarnationId(server));
	}

	/** The request did not run on the server to which it was last sent. */
	revertStart(server: BackendServer): void {
		if (this.isLatestNew) {
			this.servers.delete(getIncarnationId(server));
		}
	}

	private living(): readonly string[] {
		for (const [life, server] of this.servers) {
			if (!this.isLiving(server)) {
				this.ended.add(life);
			}
		}

		return [...this.servers.keys()].filter(life => !this.ended.has(life));
	}
}
