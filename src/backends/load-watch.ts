import {InstanceRole} from '../platform/instance-role.js';
import {type Fleet} from '../routing/fleet.js';
import {type Server} from '../routing/server.js';
import {type TimerService} from '../time/timer-service.js';
import {type ModelEngine} from './model-engine.js';
import {type PlainService} from './plain-service.js';

/** Asks backend servers for their load, over new connections, and suspects those that give no answer. */
export class LoadWatch {
	private readonly pending = new Set<string>();

	/**
	@param limit - milliseconds for an answer
	*/
	constructor(
		private readonly fleet: Fleet,
		private readonly engine: ModelEngine,
		private readonly plain: PlainService,
		private readonly timers: TimerService,
		private readonly limit: number,
	) {}

	/** Asks every server once; those that have not answered yet are not asked again. */
	poll(): void {
		for (const server of this.fleet.all()) {
			if (!this.pending.has(server.listed.id)) {
				void this.ask(server);
			}
		}
	}

	private async ask({listed}: Server): Promise<void> {
		this.pending.add(listed.id);
		try {
			const source = listed.role === InstanceRole.Engine ? this.engine : this.plain;
			this.fleet.report(listed.id, await source.load(listed.address, this.limit));
		} catch {
			this.fleet.suspect(listed.id, this.timers.now());
		} finally {
			this.pending.delete(listed.id);
		}
	}
}
