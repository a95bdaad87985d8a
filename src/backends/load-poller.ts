import {InstanceRole} from '../store/instance-role.js';
import {type Fleet} from '../routing/fleet.js';
import {type ServerState} from '../routing/server-state.js';
import {type TimerService} from '../time/timer-service.js';
import {type ModelEngine} from './model-engine.js';
import {type PlainService} from './plain-service.js';

/** Dependencies of the load poller. */
export type LoadPollerDependencies = {
	readonly fleet: Fleet;
	readonly engine: ModelEngine;
	readonly plain: PlainService;
	readonly timers: TimerService;
	/** Timeout in milliseconds for a response. */
	readonly timeout: number;
};

/** Polls the load of backend servers over new connections and marks servers that do not respond as suspect. */
export class LoadPoller {
	private readonly pending = new Set<string>();

	constructor(private readonly dependencies: LoadPollerDependencies) {}

	/** Polls every server once, except those whose previous poll is still pending. */
	poll(): void {
		for (const server of this.dependencies.fleet.getServers()) {
			if (!this.pending.has(server.listed.id)) {
				void this.pollServer(server);
			}
		}
	}

	private async pollServer({listed}: ServerState): Promise<void> {
		this.pending.add(listed.id);
		try {
			const client = listed.role === InstanceRole.Engine ? this.dependencies.engine : this.dependencies.plain;
			this.dependencies.fleet.applyReport(listed.id, await client.readLoad(listed.address, this.dependencies.timeout));
		} catch {
			this.dependencies.fleet.markSuspect(listed.id, this.dependencies.timers.now());
		} finally {
			this.pending.delete(listed.id);
		}
	}
}
