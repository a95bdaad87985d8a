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

const retryDelayMs = 100;
const outcomeWriteTimeoutMs = 300;

function parseRecord(row: Row | undefined): ActionRecord | undefined {
	return row && actionRecordSchema.parse(JSON.parse(row.value));
}

/**
Runs one-time actions at most once by conditional writes to one row per action, whose state goes from claimed to sent to done.

Safety depends on no clock and no lease: if an attempt was paused and another took over, its next conditional write fails.

@example
```
const answer = await executor.run(action, async () => service.call(request));
```
*/
export class ActionExecutor {
	private readonly outcomeWriter: OutcomeWriter;

	constructor(
		private readonly table: Table,
		private readonly timers: TimerService,
		private readonly instance: string,
		log: Logger,
	) {
		this.outcomeWriter = new OutcomeWriter(table, timers, log);
	}

	/**
	Runs an action, or returns the answer recorded for it.

	@param action - the requested action
	@param send - sends the action once
	@returns the new or the recorded answer
	@throws Failure, whose execution is NotRun only if this request was not sent and never will be
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
					throw new Failure(ResultCode.ActionOutcomeUnknown, `the action with key ${action.key} was sent but no outcome is recorded`, Execution.Unknown);
				}

				case ActionStepKind.ReportConflict: {
					throw new Failure(ResultCode.ActionConflict, `the key ${action.key} was used with a different request`);
				}
			}
		}
	}

	/**
	Reads the record of an action.

	@returns undefined if there is none
	@throws PlatformError
	*/
	async findRecord(workspace: string, key: string): Promise<ActionRecord | undefined> {
		return parseRecord(await this.table.read(getActionRowKey(workspace, key)));
	}

	/** Number of outcomes not yet written to the table. */
	countPendingOutcomes(): number {
		return this.outcomeWriter.countPending();
	}

	/** Waits until all pending outcomes are written or the timeout in milliseconds has passed. */
	async flush(limit: number): Promise<void> {
		await this.outcomeWriter.flush(limit);
	}

	private async readRow(action: Action): Promise<Row | undefined> {
		try {
			return await this.table.read(getActionRowKey(action.workspace, action.key));
		} catch (error) {
			throw new Failure(ResultCode.PlatformUnavailable, `the row of the action could not be read, so the action was not sent: ${getErrorMessage(error)}`);
		}
	}

	/** Writes a state conditionally on the row's version. Returns the written row, or the current one if the version was outdated. */
	private async write(action: Action, row: Row | undefined, state: ActionState): Promise<Row> {
		const record = this.createRecord(action, state);
		const write = {key: getActionRowKey(action.workspace, action.key), expected: row?.version ?? 0, value: JSON.stringify(record)};
		const written = {key: write.key, version: write.expected + 1, value: write.value};
		for (;;) {
			this.throwAfterDeadline(action, written, state);
			try {
				const outcome = await this.table.transact([write]); // eslint-disable-line no-await-in-loop
				return outcome.isApplied ? written : outcome.conflicts[0];
			} catch (error) {
				if (!(error instanceof PlatformError)) {
					throw error;
				}
			}

			// The write is conditional, so repeating it after a lost response finds this attempt's own record.
			await this.timers.sleep(retryDelayMs); // eslint-disable-line no-await-in-loop
		}
	}

	private throwAfterDeadline(action: Action, written: Row, state: ActionState): void {
		if (this.timers.now() < action.deadline) {
			return;
		}

		if (state === ActionState.Sent) {
			void this.release(action, written.version);
		}

		throw new Failure(ResultCode.PlatformUnavailable, 'the row of the action could not be written before the deadline, so the action was not sent');
	}

	private async send(action: Action, version: number, send: () => Promise<SendResult>): Promise<PlainAnswer> {
		if (this.timers.now() >= action.deadline) {
			void this.release(action, version);
			throw new Failure(ResultCode.DeadlinePassed, 'the deadline passed before the action was sent');
		}

		const result = await send();
		if (result.execution === Execution.NotRun) {
			// The caller may retry immediately, at any instance.
			await this.release(action, version);
			throw new Failure(ResultCode.BackendFailed, `the action was not run: ${result.reason ?? 'the backend server refused it'}`);
		}

		if (!result.answer) {
			throw new Failure(ResultCode.ActionOutcomeUnknown, `the action was sent but no answer was received: ${result.reason ?? 'the reason is unknown'}`, Execution.Unknown);
		}

		const record = {...this.createRecord(action, ActionState.Done), answer: result.answer};
		await this.outcomeWriter.write(getActionRowKey(action.workspace, action.key), version, record, outcomeWriteTimeoutMs);
		return result.answer;
	}

	/** Records that this attempt will never send; it must not send after this call. Waits briefly for the write, which then continues in the background. */
	private async release(action: Action, version: number): Promise<void> {
		const record = this.createRecord(action, ActionState.Released);
		await this.outcomeWriter.write(getActionRowKey(action.workspace, action.key), version, record, outcomeWriteTimeoutMs);
	}

	private createRecord(action: Action, state: ActionState): ActionRecord {
		return {
			state, fingerprint: action.fingerprint, attempt: action.attempt, holder: this.instance, at: this.timers.wallClock(),
		};
	}
}
