import {type Logger} from 'winston';
import {type Table} from '../store/table.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {type ActionRecord, actionRecordSchema} from './action-record.js';
import {ActionState} from './action-state.js';

const pauseMs = 250;
const longestPauseMs = 5000;

/** Writes the outcomes of actions, and goes on trying while the table is down. */
export class OutcomeWriter {
	private readonly waiting = new Set<Promise<void>>();

	constructor(private readonly table: Table, private readonly timers: TimerService, private readonly log: Logger) {}

	/**
	Writes an outcome over the action's row.

	@param key - of the row
	@param version - of the row as the attempt last wrote it
	@param record - the outcome
	@param patience - milliseconds to wait for the first tries; later ones go on in the background
	*/
	async write(key: string, version: number, record: ActionRecord, patience: number): Promise<void> {
		const work = this.writeUntilDone(key, version, record);
		this.waiting.add(work);
		const waited = (async () => {
			await work;
			this.waiting.delete(work);
		})();
		await Promise.race([waited, this.timers.sleep(patience)]);
	}

	/** Number of outcomes that are not written yet. */
	pending(): number {
		return this.waiting.size;
	}

	/** Waits until all are written, for at most a limit in milliseconds. */
	async flush(limit: number): Promise<void> {
		await Promise.race([Promise.all(this.waiting), this.timers.sleep(limit)]);
	}

	private async writeUntilDone(key: string, firstVersion: number, record: ActionRecord): Promise<void> {
		let expected = firstVersion;
		for (let pause = pauseMs; ; pause = Math.min(longestPauseMs, pause * 2)) {
			try {
				const outcome = await this.table.transact([{key, expected, value: JSON.stringify(record)}]); // eslint-disable-line no-await-in-loop
				if (outcome.isApplied) {
					return;
				}

				const found = actionRecordSchema.safeParse(JSON.parse(outcome.conflicts[0].value || '{}'));
				const isOwn = found.success && found.data.attempt === record.attempt;
				if (!isOwn || found.data.state === record.state) {
					return;
				}

				if (found.data.state === ActionState.Done) {
					return;
				}

				expected = outcome.conflicts[0].version;
			} catch (error) {
				this.log.warn(`An outcome waits for the table: ${getErrorMessage(error)}.`);
				await this.timers.sleep(pause); // eslint-disable-line no-await-in-loop
			}
		}
	}
}
