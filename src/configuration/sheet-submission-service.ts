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

const patienceMs = 3000;
const pauseMs = 150;

type Accepted = {
	readonly version: number;
	readonly isUnchanged: boolean;
};

/** Accepts planners' sheets: one conditional write of the next version over the version that the planner saw. */
export class SheetSubmissionService {
	constructor(
		private readonly archive: ConfigurationStore,
		private readonly keeper: ActiveConfiguration,
		private readonly spread: VersionPropagator,
		private readonly timers: TimerService,
	) {}

	/**
	Checks and accepts a sheet. Submitting the same sheet again is harmless.

	@throws Failure SheetConflict for the loser of a race, PlatformUnavailable where nothing was written, SheetOutcomeUnknown where nobody can tell
	*/
	async submit(submission: Submission): Promise<SubmissionResult> {
		const {sheet, problems} = parseSheet(submission.text);
		if (!sheet) {
			return {
				isUnchanged: false, problems, inForce: 0, instances: 0,
			};
		}

		const accepted = await this.accept(submission, sheet);
		const spread = await this.spread.propagate(accepted.version);
		return {...accepted, problems: [], ...spread};
	}

	private async accept(submission: Submission, sheet: Sheet): Promise<Accepted> {
		const deadline = this.timers.now() + patienceMs;
		let mayHaveLanded = false;
		for (;;) {
			try {
				const result = await this.tryOnce(submission, sheet); // eslint-disable-line no-await-in-loop
				if (result) {
					return result;
				}
			} catch (error) {
				if (!(error instanceof PlatformError)) {
					throw error;
				}

				mayHaveLanded ||= error.isOutcomeUnknown;
				this.giveUpAfter(deadline, mayHaveLanded, error);
			}

			await this.timers.sleep(pauseMs); // eslint-disable-line no-await-in-loop
		}
	}

	private giveUpAfter(deadline: number, mayHaveLanded: boolean, error: Error): void {
		if (this.timers.now() < deadline) {
			return;
		}

		if (mayHaveLanded) {
			throw new Failure(ResultCode.SheetOutcomeUnknown, `the table gave no answer, submit the same sheet again: ${getErrorMessage(error)}`, Execution.Unknown);
		}

		throw new Failure(ResultCode.PlatformUnavailable, `the sheet was not accepted: ${getErrorMessage(error)}`);
	}

	/** One try; undefined where a race calls for another look. */
	private async tryOnce(submission: Submission, sheet: Sheet): Promise<Accepted | undefined> {
		const head = await this.archive.readHead();
		if (head.digest === sheet.digest) {
			const configuration = {version: head.version, sheet};
			this.keeper.apply(configuration);
			return {version: head.version, isUnchanged: head.submission !== submission.id};
		}

		if (head.version !== submission.seen) {
			return this.settleRace(submission, head);
		}

		const known = await this.archive.readNewest(this.keeper.current() ?? emptyConfiguration, head);
		const acceptance: VersionRecord = {
			version: head.version + 1,
			digest: sheet.digest,
			submission: submission.id,
			planner: submission.planner,
			at: this.timers.wallClock(),
			difference: computeDifference(known.sheet, sheet),
		};
		const outcome = await this.archive.writeVersion(acceptance, sheet);
		if (!outcome.isApplied) {
			return undefined;
		}

		this.keeper.apply({version: acceptance.version, sheet});
		return {version: acceptance.version, isUnchanged: false};
	}

	/** Finds the submission among the versions since the one that its planner saw, or tells who was faster. */
	private async settleRace(submission: Submission, head: ConfigurationHead): Promise<Accepted> {
		const acceptances = await this.archive.readVersionRecords(Math.min(submission.seen, head.version), head.version);
		const own = acceptances.find(acceptance => acceptance.submission === submission.id);
		if (own) {
			return {version: own.version, isUnchanged: false};
		}

		const changes = acceptances.map(({version, planner, difference}) => {
			const rows = [...difference.put.map(row => `${row.kind} ${row.name}`), ...difference.removed];
			return `version ${version} by ${planner} changed ${rows.join(', ')}`;
		});
		throw new Failure(ResultCode.SheetConflict, `version ${head.version} is in force, not ${submission.seen}: ${changes.join('; ')}`);
	}
}
