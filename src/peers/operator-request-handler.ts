import {type ActionExecutor} from '../actions/action-executor.js';
import {type ActionRecord} from '../actions/action-record.js';
import {type VersionRecord} from '../configuration/version-record.js';
import {type ConfigurationStore} from '../configuration/configuration-store.js';
import {type ActiveConfiguration} from '../configuration/active-configuration.js';
import {type SheetSubmissionService} from '../configuration/sheet-submission-service.js';
import {type SheetRow} from '../configuration/sheet-row.js';
import {type Submission, type SubmissionResult} from '../configuration/submission.js';
import {type RouteExplanation, type RouteExplainer} from '../routing/route-explainer.js';
import {type Membership} from '../membership/membership.js';
import {type Platform} from '../store/platform.js';
import {type Execution} from '../results/execution.js';
import {type ResultCode} from '../results/result-code.js';
import {toFailure} from '../results/to-failure.js';
import {sumChargedTokens, usageRecordSchema} from '../usage/usage-record.js';
import {type Lifecycle} from '../lifecycle.js';

/** A failure as sent to the command line. */
export type FailureReport = {
	readonly code: ResultCode;
	readonly message: string;
	readonly execution: Execution;
};

/** A value or the failure that prevented it. */
export type Reply<Value> = {readonly value: Value} | {readonly failure: FailureReport};

/** Tokens charged to a workspace, and the number of windows that they were charged in. */
export type WorkspaceUsage = {
	readonly workspace: string;
	readonly tokens: number;
	readonly windows: number;
};

/** An entry instance in the view of the answering one. */
export type InstanceView = {
	readonly id: string;
	readonly address: string;
	readonly state: string;
};

/** Runs an operation and converts what it throws to a failure. */
export async function toReply<Value>(operation: () => Promise<Value> | Value): Promise<Reply<Value>> {
	try {
		return {value: await operation()};
	} catch (error) {
		const {code, message, execution} = toFailure(error);
		return {failure: {code, message, execution}};
	}
}

export type OperatorRequestHandlerDependencies = {
	readonly self: InstanceView;
	readonly sheetSubmission: SheetSubmissionService;
	readonly activeConfiguration: ActiveConfiguration;
	readonly configurationStore: ConfigurationStore;
	readonly platform: Platform;
	readonly membership: Membership;
	readonly explainer: RouteExplainer;
	readonly actionExecutor: ActionExecutor;
	readonly lifecycle: Lifecycle;
};

/** Handles the requests of operators and planners. */
export class OperatorRequestHandler {
	constructor(private readonly dependencies: OperatorRequestHandlerDependencies) {}

	async submitSheet(submission: Submission): Promise<Reply<SubmissionResult>> {
		return toReply(async () => this.dependencies.sheetSubmission.submit(submission));
	}

	/** Returns the sheet in force on this instance. */
	showSheet(): {readonly version: number; readonly rows: readonly SheetRow[]} {
		const current = this.dependencies.activeConfiguration.current();
		return {version: current?.version ?? 0, rows: [...current?.sheet.rows.values() ?? []]};
	}

	async history(): Promise<Reply<readonly VersionRecord[]>> {
		return toReply(async () => this.dependencies.configurationStore.readHistory());
	}

	/** Returns the tokens charged to each workspace, summed over all windows in the table. */
	async usage(): Promise<Reply<readonly WorkspaceUsage[]>> {
		return toReply(async () => {
			const totals = new Map<string, {tokens: number; windows: number}>();
			for (const row of await this.dependencies.platform.table.scan('usage/')) {
				const [, workspace] = row.key.split('/');
				const total = totals.get(workspace) ?? {tokens: 0, windows: 0};
				total.tokens += sumChargedTokens(usageRecordSchema.parse(JSON.parse(row.value)));
				total.windows++;
				totals.set(workspace, total);
			}

			return [...totals].map(([workspace, total]) => ({workspace, ...total}));
		});
	}

	instances(): readonly InstanceView[] {
		const {self, lifecycle, membership} = this.dependencies;
		return [{...self, state: lifecycle.isDraining ? 'draining' : 'alive'}, ...membership.all().map(({id, address, state}) => ({id, address, state}))];
	}

	/** Starts a planned stop. */
	drain(): {readonly isDraining: boolean} {
		this.dependencies.lifecycle.requestStop();
		return {isDraining: true};
	}

	explainRoute(model: string): RouteExplanation {
		return this.dependencies.explainer.explain(model);
	}

	async lookUpAction(workspace: string, key: string): Promise<Reply<{readonly record?: ActionRecord}>> {
		return toReply(async () => ({record: await this.dependencies.actionExecutor.findRecord(workspace, key)}));
	}
}
