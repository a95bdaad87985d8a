import {PlatformError} from '../store/platform-error.js';
import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {type VersionRecord} from './version-record.js';
import {type ConfigurationStore, type ConfigurationHead} from './configuration-store.js';
import {emptyConfiguration, type ActiveConfiguration} from './active-configuration.js';
import {computeDifference} from './sheet-difference.js';
import {parseSheet} from './sheet-parser.js';
import {type Sheet} from './sheet.js';
import {type VersionPropagator} from './version-propagator.js';
import {type Submission, type SubmissionResult} from './submission.js';

const acceptTimeoutMs = 3000;
const retryDelayMs = 150;

type AcceptedVersion = {
	readonly version: number;
	readonly isUnchanged: boolean;
};

/** Accepts sheets from planners. A sheet is written as the next version only if the version that the planner saw is still the newest. */
export class SheetSubmissionService {
	constructor(
		private readonly store: ConfigurationStore,
		private readonly activeConfiguration: ActiveConfiguration,
		private readonly propagator: VersionPropagator,
		private readonly timers: TimerService,
	) {}

	/**
	Checks a sheet and writes it as the next version, then propagates that version to peers. Submitting the same sheet again has no further effect.

	@returns the accepted version, or the problems of a sheet that is invalid
	@throws Failure SheetConflict if another version was accepted since the one that the planner saw, PlatformUnavailable if nothing was written, SheetOutcomeUnknown if the table did not answer and the sheet may have been written
	*/
	async submit(submission: Submission): Promise<SubmissionResult> {
		const {sheet, problems} = parseSheet(submission.text);
		if (!sheet) {
			return {
				isUnchanged: false, problems, inForce: 0, instances: 0,
			};
		}

		const accepted = await this.accept(submission, sheet);
		const propagation = await this.propagator.propagate(accepted.version);
		return {...accepted, problems: [], ...propagation};
	}

	private async accept(submission: Submission, sheet: Sheet): Promise<AcceptedVersion> {
		const deadline = this.timers.now() + acceptTimeoutMs;
		let mayBeWritten = false;
		for (;;) {
			try {
				const result = await this.tryAccept(submission, sheet); // eslint-disable-line no-await-in-loop
				if (result) {
					return result;
				}
			} catch (error) {
				if (!(error instanceof PlatformError)) {
					throw error;
				}

				mayBeWritten ||= error.isOutcomeUnknown;
				this.throwAfterDeadline(deadline, mayBeWritten, error);
			}

			await this.timers.sleep(retryDelayMs); // eslint-disable-line no-await-in-loop
		}
	}

	private throwAfterDeadline(deadline: number, mayBeWritten: boolean, error: Error): void {
		if (this.timers.now() < deadline) {
			return;
		}

		if (mayBeWritten) {
			throw new Failure(ResultCode.SheetOutcomeUnknown, `the table did not answer; submit the same sheet again: ${getErrorMessage(error)}`, Execution.Unknown);
		}

		throw new Failure(ResultCode.PlatformUnavailable, `the sheet was not accepted: ${getErrorMessage(error)}`);
	}

	/** Makes one attempt; undefined if another version was written at the same time, so that the head must be read again. */
	private async tryAccept(submission: Submission, sheet: Sheet): Promise<AcceptedVersion | undefined> {
		const head = await this.store.readHead();
		this.activeConfiguration.recordVersion(head.version);
		if (head.digest === sheet.digest) {
			const configuration = {version: head.version, sheet};
			this.activeConfiguration.apply(configuration);
			return {version: head.version, isUnchanged: head.submission !== submission.id};
		}

		if (head.version !== submission.seen) {
			return this.resolveConflict(submission, head);
		}

		const newest = await this.store.readNewest(this.activeConfiguration.current() ?? emptyConfiguration, head);
		const record: VersionRecord = {
			version: head.version + 1,
			digest: sheet.digest,
			submission: submission.id,
			planner: submission.planner,
			at: this.timers.wallClock(),
			difference: computeDifference(newest.sheet, sheet),
		};
		const transaction = await this.store.writeVersion(record, sheet);
		if (!transaction.isApplied) {
			return undefined;
		}

		this.activeConfiguration.apply({version: record.version, sheet});
		return {version: record.version, isUnchanged: false};
	}

	/** Finds this submission among the versions since the one that the planner saw: an earlier attempt may have written it although its response was lost. Otherwise throws SheetConflict with the planners and rows of those versions. */
	private async resolveConflict(submission: Submission, head: ConfigurationHead): Promise<AcceptedVersion> {
		const records = await this.store.readVersionRecords(Math.min(submission.seen, head.version), head.version);
		const own = records.find(record => record.submission === submission.id);
		if (own) {
			return {version: own.version, isUnchanged: false};
		}

		const changes = records.map(({version, planner, difference}) => {
			const rows = [...difference.put.map(row => `${row.kind} ${row.name}`), ...difference.removed];
			return `version ${version} by ${planner} changed ${rows.join(', ')}`;
		});
		throw new Failure(ResultCode.SheetConflict, `version ${head.version} is in force, not ${submission.seen}: ${changes.join('; ')}`);
	}
}
