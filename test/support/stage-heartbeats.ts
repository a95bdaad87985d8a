import {type StageSimulator} from '../../simulators/stage-simulator.js';
import {type TimerHandle} from '../../src/time/timer-handle.js';
import {type TimerService} from '../../src/time/timer-service.js';

const heartbeatIntervalMs = 100;
/** Time without a heartbeat after which the entry of an ended incarnation is removed. */
const entryLifetimeMs = 2500;

/** The server list as the stages write it. */
export type ServerEntries = {
	/** Writes the entry of the running incarnation with its current layers. */
	readonly write: (stage: StageSimulator) => void;
	readonly remove: (id: string) => void;
};

type ListedStage = {
	/** Layers in the written entry, as JSON. */
	readonly range: string;
	/** Monotonic time in milliseconds. */
	readonly seenAt: number;
};

/** Keeps the entries of stages in the server list as real servers do: each running incarnation lists its current layers, and the entry of an ended one is removed some seconds later. */
export class StageHeartbeats {
	private readonly listed = new Map<string, ListedStage>();
	private timer?: TimerHandle;

	constructor(private readonly stages: readonly StageSimulator[], private readonly entries: ServerEntries, private readonly timers: TimerService) {}

	start(): void {
		this.timer ??= this.timers.repeat(heartbeatIntervalMs, () => {
			this.update();
		});
	}

	stop(): void {
		this.timer?.cancel();
	}

	private update(): void {
		const now = this.timers.now();
		for (const stage of this.stages.filter(({isRunning}) => isRunning)) {
			const range = JSON.stringify(stage.range);
			if (this.listed.get(stage.id)?.range !== range) {
				this.entries.write(stage);
			}

			this.listed.set(stage.id, {range, seenAt: now});
		}

		for (const [id, {seenAt}] of this.listed) {
			if (now - seenAt > entryLifetimeMs) {
				this.listed.delete(id);
				this.entries.remove(id);
			}
		}
	}
}
