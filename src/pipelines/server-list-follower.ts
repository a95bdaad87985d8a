import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {messageOf} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {type ServerDirectory} from './server-directory.js';
import {type ServerList} from './server-list.js';

/** The parts of a follower of the list. */
export type ListFollowerParts = {
	readonly list: ServerList;
	readonly directory: ServerDirectory;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
	/** Called after each reading. */
	readonly onReading: () => void;
};

/** Times of following the list, in milliseconds. */
export type ListTimes = {
	readonly period: number;
	/** After an outage, how long entries may still be missing though their servers live. */
	readonly returnGrace: number;
	/** A reading that took longer than this counts as an outage. */
	readonly slow: number;
};

/** Reads the list again and again, one reading at a time. */
export class ServerListFollower {
	private isReading = false;
	private troubledAt = Number.NEGATIVE_INFINITY;
	private isLost = false;

	constructor(private readonly parts: ListFollowerParts, private readonly times: ListTimes) {}

	/** Begins to follow. */
	start(): void {
		void this.poll();
		this.parts.timers.repeat(this.times.period, () => {
			void this.poll();
		});
	}

	private async poll(): Promise<void> {
		if (this.isReading) {
			return;
		}

		this.isReading = true;
		const {list, directory, timers, metrics, log, onReading} = this.parts;
		const askedAt = timers.now();
		try {
			const servers = await list.read();
			const now = timers.now();
			if (now - askedAt > this.times.slow) {
				this.troubledAt = now;
			}

			if (this.isLost) {
				this.isLost = false;
				log.write('dependency.regained', {dependency: 'server list', afterMs: Math.round(now - this.troubledAt)});
			}

			directory.take({servers, askedAt, mayLack: now - this.troubledAt < this.times.returnGrace});
			metrics.record('siskinnotch_list_read_ms', now - askedAt);
			onReading();
		} catch (error) {
			this.troubledAt = timers.now();
			metrics.count('siskinnotch_list_failures');
			if (!this.isLost) {
				this.isLost = true;
				log.warn('dependency.lost', {dependency: 'server list', reason: messageOf(error)});
			}
		} finally {
			this.isReading = false;
		}
	}
}
