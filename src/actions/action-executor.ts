import {type Logger} from 'winston';
import {type PlainAnswer} from '../backends/plain-answer.js';
import {PlatformError} from '../store/platform-error.js';
import {type Row} from '../store/row.js';
import {type Table} from '../store/table.js';
import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {decideNextStep} from './action-decision.js';
import {type ActionRecord, actionRecordSchema} from './action-record.js';
import {ActionState} from './action-state.js';
import {ActionStepKind} from './action-step.js';
import {type Action, getActionRowKey} from './action.js';
import {OutcomeWriter} from './outcome-writer.js';
import {type SendResult} from './send-result.js';

const retryPauseMs = 100;
const recordPatienceMs = 300;

function parseRecord(row: Row | undefined): ActionRecord | undefined {
	return row && actionRecordSchema.parse(JSON.parse(row.value));
}

/**
Runs one-time actions at most once, by conditional writes of one row for each action: claimed, sent, done.

No step depends on a clock or a lease: an attempt that slept finds its next conditional write refused.

@example
```
const answer = await ledger.run(action, async () => service.call(request));
```
*/
export class ActionExecutor {
	private readonly outcomes: OutcomeWriter;

	constructor(
		private readonly table: Table,
		private readonly timers: TimerService,
		private readonly instance: string,
		log: Logger,
	) {
		this.outcomes = new OutcomeWriter(table, timers, log);
	}

	/**
	Runs an action, or answers from its row.

	@param action - the request
	@param send - sends it once
	@returns the answer, fresh or recorded
	@throws Failure; with the execution NotRun only where this request has not been and will not be sent
	*/
	async run(action: Action, send: () => Promise<SendResult>): Promise<PlainAnswer> {
		let row = await this.readRow(action);
		for (;;) {
			const step = decideNextStep(parseRecord(row), action, this.timers.wallClock());
			switch (step.kind) {
				case ActionStepKind.Claim: {
					row = await this.write(action, row, ActionState.Claimed); // eslint-disable-line no-await-in-loop
					break;
				}

				case ActionStepKind.MarkSent: {
					row = await this.write(action, row, ActionState.Sent); // eslint-disable-line no-await-in-loop
					break;
				}

				case ActionStepKind.Send: {
					return this.send(action, row!.version, send);
				}

				case ActionStepKind.Replay: {
					return step.answer!;
				}

				case ActionStepKind.ReportInProgress: {
					throw new Failure(ResultCode.ActionInProgress, `the action with key ${action.key} is in progress`, Execution.Unknown);
				}

				case ActionStepKind.ReportUnknown: {
					throw new Failure(ResultCode.ActionOutcomeUnknown, `the action with key ${action.key} was sent and no outcome is recorded`, Execution.Unknown);
				}

				case ActionStepKind.ReportConflict: {
					throw new Failure(ResultCode.ActionConflict, `the key ${action.key} was used with another request`);
				}
			}
		}
	}

	/** The row of an action; undefined where none is known. Throws PlatformError. */
	async findRecord(workspace: string, key: string): Promise<ActionRecord | undefined> {
		return parseRecord(await this.table.read(getActionRowKey(workspace, key)));
	}

	/** Number of outcomes that wait for the table. */
	countPendingOutcomes(): number {
		return this.outcomes.pending();
	}

	/** Waits until the waiting outcomes are written, for at most a limit in milliseconds. */
	async flush(limit: number): Promise<void> {
		await this.outcomes.flush(limit);
	}

	private async readRow(action: Action): Promise<Row | undefined> {
		try {
			return await this.table.read(getActionRowKey(action.workspace, action.key));
		} catch (error) {
			throw new Failure(ResultCode.PlatformUnavailable, `the action's row cannot be read, so this request was not sent: ${getErrorMessage(error)}`);
		}
	}

	/** Writes a state over the row's version and returns the row as it then is. */
	private async write(action: Action, row: Row | undefined, state: ActionState): Promise<Row> {
		const record = this.recordOf(action, state);
		const write = {key: getActionRowKey(action.workspace, action.key), expected: row?.version ?? 0, value: JSON.stringify(record)};
		const written = {key: write.key, version: write.expected + 1, value: write.value};
		for (;;) {
			this.refuseAfterDeadline(action, written, state);
			try {
				const outcome = await this.table.transact([write]); // eslint-disable-line no-await-in-loop
				return outcome.isApplied ? written : outcome.conflicts[0];
			} catch (error) {
				if (!(error instanceof PlatformError)) {
					throw error;
				}
			}

			// The write is conditional, so repeating it after a lost answer finds this attempt's own record.
			await this.timers.sleep(retryPauseMs); // eslint-disable-line no-await-in-loop
		}
	}

	private refuseAfterDeadline(action: Action, written: Row, state: ActionState): void {
		if (this.timers.now() < action.deadline) {
			return;
		}

		if (state === ActionState.Sent) {
			void this.release(action, written.version);
		}

		throw new Failure(ResultCode.PlatformUnavailable, 'the action\'s row could not be written before the deadline, so it was not sent');
	}

	private async send(action: Action, version: number, send: () => Promise<SendResult>): Promise<PlainAnswer> {
		if (this.timers.now() >= action.deadline) {
			void this.release(action, version);
			throw new Failure(ResultCode.DeadlinePassed, 'the deadline passed before the action was sent');
		}

		const result = await send();
		if (result.execution === Execution.NotRun) {
			// The caller may come back at once, at any instance.
			await this.release(action, version);
			throw new Failure(ResultCode.BackendFailed, `the action was not run: ${result.reason ?? 'the backend server refused it'}`);
		}

		if (!result.answer) {
			throw new Failure(ResultCode.ActionOutcomeUnknown, `the action was sent and no answer came: ${result.reason ?? 'no reason is known'}`, Execution.Unknown);
		}

		const record = {...this.recordOf(action, ActionState.Done), answer: result.answer};
		await this.outcomes.write(getActionRowKey(action.workspace, action.key), version, record, recordPatienceMs);
		return result.answer;
	}

	/** Records that this attempt will never send; it must not send after this call. Waits a little for the table, then goes on in the background. */
	private async release(action: Action, version: number): Promise<void> {
		const record = this.recordOf(action, ActionState.Released);
		await this.outcomes.write(getActionRowKey(action.workspace, action.key), version, record, recordPatienceMs);
	}

	private recordOf(action: Action, state: ActionState): ActionRecord {
		return {
			state, fingerprint: action.fingerprint, attempt: action.attempt, holder: this.instance, at: this.timers.wallClock(),
		};
	}
}
