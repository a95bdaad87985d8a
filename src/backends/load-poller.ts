import {InstanceRole} from '../store/instance-role.js';
import {type Fleet} from '../routing/fleet.js';
import {type ServerState} from '../routing/server-state.js';
import {type TimerService} from '../time/timer-service.js';
import {type ModelEngine} from './model-engine.js';
import {type PlainService} from './plain-service.js';

/** What the load watch needs. */
export type LoadPollerDependencies = {
	readonly fleet: Fleet;
	readonly engine: ModelEngine;
	readonly plain: PlainService;
	readonly timers: TimerService;
	/** Milliseconds for an answer. */
	readonly limit: number;
};

/** Asks backend servers for their load, over new connections, and suspects those that give no answer. */
export class LoadPoller {
	private readonly pending = new Set<string>();

	constructor(private readonly parts: LoadPollerDependencies) {}

	/** Asks every server once; those that have not answered yet are not asked again. */
	poll(): void {
		for (const server of this.parts.fleet.getServers()) {
			if (!this.pending.has(server.listed.id)) {
				void this.ask(server);
			}
		}
	}

	private async ask({listed}: ServerState): Promise<void> {
		this.pending.add(listed.id);
		try {
			const source = listed.role === InstanceRole.Engine ? this.parts.engine : this.parts.plain;
			this.parts.fleet.applyReport(listed.id, await source.readLoad(listed.address, this.parts.limit));
		} catch {
			this.parts.fleet.markSuspect(listed.id, this.parts.timers.now());
		} finally {
			this.pending.delete(listed.id);
		}
	}
}
