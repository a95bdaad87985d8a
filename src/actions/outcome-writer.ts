import {type Logger} from 'winston';
import {type Table} from '../store/table.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {type ActionRecord, actionRecordSchema} from './action-record.js';
import {ActionState} from './action-state.js';

const initialRetryDelayMs = 250;
const maximumRetryDelayMs = 5000;

/** Writes the outcomes of actions and retries with exponential backoff while the table is unavailable. */
export class OutcomeWriter {
	private readonly pendingWrites = new Set<Promise<void>>();

	constructor(private readonly table: Table, private readonly timers: TimerService, private readonly log: Logger) {}

	/**
	Writes an outcome to the row of an action, unless another attempt has written the row since.

	@param key - key of the row
	@param version - version of the row as last written by the attempt
	@param record - the outcome
	@param timeout - maximum time in milliseconds to wait; after it the write continues in the background
	*/
	async write(key: string, version: number, record: ActionRecord, timeout: number): Promise<void> {
		const work = this.writeWithRetries(key, version, record);
		this.pendingWrites.add(work);
		const completion = (async () => {
			await work;
			this.pendingWrites.delete(work);
		})();
		await Promise.race([completion, this.timers.sleep(timeout)]);
	}

	/** Number of outcomes not yet written. */
	countPending(): number {
		return this.pendingWrites.size;
	}

	/** Waits until all outcomes are written or the timeout in milliseconds has passed. */
	async flush(timeout: number): Promise<void> {
		await Promise.race([Promise.all(this.pendingWrites), this.timers.sleep(timeout)]);
	}

	private async writeWithRetries(key: string, firstVersion: number, record: ActionRecord): Promise<void> {
		let expected = firstVersion;
		for (let delay = initialRetryDelayMs; ; delay = Math.min(maximumRetryDelayMs, delay * 2)) {
			try {
				const outcome = await this.table.transact([{key, expected, value: JSON.stringify(record)}]); // eslint-disable-line no-await-in-loop
				if (outcome.isApplied) {
					return;
				}

				const existing = actionRecordSchema.safeParse(JSON.parse(outcome.conflicts[0].value || '{}'));
				const isOwn = existing.success && existing.data.attempt === record.attempt;
				if (!isOwn || existing.data.state === record.state) {
					return;
				}

				if (existing.data.state === ActionState.Done) {
					return;
				}

				expected = outcome.conflicts[0].version;
			} catch (error) {
				this.log.warn(`An action outcome could not be written and will be retried: ${getErrorMessage(error)}.`);
				await this.timers.sleep(delay); // eslint-disable-line no-await-in-loop
			}
		}
	}
}
