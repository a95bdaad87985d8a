import {priorities} from '../src/configuration/priority.js';
import {type TimerService} from '../src/time/timer-service.js';
import {type EngineSettings} from './engine-settings.js';
import {type WorkItem} from './work-item.js';

const timerSlackMs = 4;

/** Runs work items in batches, highest priority first, one batch at a time. */
export class BatchQueue {
	/** Factor by which the duration of each batch is multiplied. */
	slowdownFactor = 1;
	/** Total number of positions prefilled so far. */
	prefilledPositions = 0;
	private queue: WorkItem[] = [];
	private isBusy = false;
	private busyUntil = 0;

	/**
	@param onBatchDone - called with each batch when its duration has passed
	*/
	constructor(private readonly settings: EngineSettings, private readonly timers: TimerService, private readonly onBatchDone: (batch: readonly WorkItem[]) => void) {}

	/** Number of work items that wait for a batch. */
	get size(): number {
		return this.queue.length;
	}

	add(work: WorkItem): void {
		this.queue.push(work);
		this.runBatch();
	}

	/** Removes the waiting items that match. */
	remove(isMatch: (work: WorkItem) => boolean): void {
		this.queue = this.queue.filter(work => !isMatch(work));
	}

	private runBatch(): void {
		if (this.isBusy || this.queue.length === 0) {
			return;
		}

		this.isBusy = true;
		this.queue.sort((a, b) => priorities.indexOf(a.attempt.priority) - priorities.indexOf(b.attempt.priority));
		const batch = this.queue.splice(0, this.settings.batch);
		// Timers fire late: a batch that follows directly starts when the previous one was due to end, so that the delays do not add up.
		const now = this.timers.now();
		const isContinuous = now - this.busyUntil < timerSlackMs;
		this.busyUntil = (isContinuous ? this.busyUntil : now) + (this.computeDuration(batch) * this.slowdownFactor);
		this.timers.after(Math.max(0, this.busyUntil - now), () => {
			this.isBusy = false;
			this.onBatchDone(batch);
			this.runBatch();
		});
	}

	private computeDuration(batch: readonly WorkItem[]): number {
		const {step, decode, prefill} = this.settings;
		let duration = step;
		for (const work of batch) {
			const positions = work.end - work.starts[work.stage];
			duration += positions === 1 ? decode : positions * prefill;
			this.prefilledPositions += positions === 1 ? 0 : positions;
		}

		return duration;
	}
}
