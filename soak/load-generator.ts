import {requestCompletion, CompletionOutcome, type CompletionResult} from '../harness/completion-caller.js';
import {type EntryProcess} from '../harness/cluster.js';
import {callOperation, type PlainResult} from '../harness/plain-caller.js';
import {getApiKey} from '../harness/sheet-text.js';
import {workspaces, SoakEnvironment} from './soak-environment.js';

const completionCallers = 10;
const actionCallers = 4;
const readCallers = 2;
const longestPauseMs = 150;
const maximumSends = 4;
const refusalsWithoutRetryAfter = new Set(['TokenLimitReached', 'DeadlinePassed', 'CallerGone', 'StreamInterrupted']);

/** One attempt to send a one-time action, and the execution state that the response stated. */
type ActionSend = {
	readonly execution: string;
};

/** Concurrent callers that request completions, run one-time actions and read records, and check each response. */
export class LoadGenerator {
	/** Attempts to send each action, by idempotency key. */
	readonly actions = new Map<string, ActionSend[]>();
	private nextNumber = 0;

	constructor(private readonly environment: SoakEnvironment) {}

	/** Sends requests until the run is over. Resolves when all callers have their responses. */
	async run(): Promise<void> {
		const loops = [
			...Array.from({length: completionCallers}, async () => this.repeat(async () => this.completeText())),
			...Array.from({length: actionCallers}, async () => this.repeat(async () => this.runAction())),
			...Array.from({length: readCallers}, async () => this.repeat(async () => this.readRecord())),
		];
		await Promise.all(loops);
	}

	private async repeat(work: () => Promise<void>): Promise<void> {
		while (!this.environment.isOver) {
			await work(); // eslint-disable-line no-await-in-loop
			await this.environment.cluster.timers.sleep(this.environment.random.nextInteger(longestPauseMs)); // eslint-disable-line no-await-in-loop
		}
	}

	private async pickEntry(): Promise<EntryProcess> {
		const {routable, cluster, random} = this.environment;
		while (routable.size === 0) {
			await cluster.timers.sleep(longestPauseMs); // eslint-disable-line no-await-in-loop
		}

		return random.pick([...routable]);
	}

	private async completeText(): Promise<void> {
		const {random, tally} = this.environment;
		const entry = await this.pickEntry();
		const startedAt = this.environment.now();
		const start = random.nextInteger(200);
		const {name} = random.pick(workspaces);
		const result = await requestCompletion({
			callerAddress: entry.callerAddress,
			key: getApiKey(name),
			model: 'findings',
			prompt: `${this.nextNumber++} ${SoakEnvironment.promptText.slice(start, start + random.nextInteger(600))}`,
			maximumTokens: 16 + random.nextInteger(60),
			abandonAfter: random.nextInteger(10) === 0 ? random.nextInteger(20) : undefined,
		});
		tally.requests++;
		this.recordCompletion(result, entry, startedAt);
	}

	private recordCompletion(result: CompletionResult, entry: EntryProcess, startedAt: number): void {
		const {tally, stopping, disturbedAt} = this.environment;
		switch (result.outcome) {
			case CompletionOutcome.Complete: {
				tally.whole++;
				break;
			}

			case CompletionOutcome.Refused: {
				this.recordRefusal(result);
				break;
			}

			case CompletionOutcome.Interrupted: {
				tally.interrupted++;
				break;
			}

			case CompletionOutcome.Abandoned: {
				tally.abandoned++;
				break;
			}

			case CompletionOutcome.ConnectionLost: {
				tally.connectionsLost++;
				const wasDisturbed = (disturbedAt.get(entry) ?? -1) >= startedAt;
				if (!wasDisturbed) {
					tally.cutOffByStop++;
					tally.addNote(`${entry.id}${stopping.has(entry) ? ', stopping as planned,' : ''} lost a connection after ${result.tokens} tokens`);
				}

				break;
			}

			case CompletionOutcome.Incorrect: {
				tally.wrongTokens++;
				tally.addNote(`${entry.id}: ${result.mismatch}`);
				break;
			}
		}
	}

	private recordRefusal({execution, code, retryAfter}: CompletionResult): void {
		const {tally} = this.environment;
		if (execution === 'not_run') {
			tally.refusedNotRun++;
			if (retryAfter === 0 && !refusalsWithoutRetryAfter.has(code)) {
				tally.missingRetryAfter++;
				tally.addNote(`${code} without Retry-After`);
			}
		} else {
			tally.unknownOutcome++;
		}
	}

	private async runAction(): Promise<void> {
		const {tally, random, cluster} = this.environment;
		const key = `action-${this.nextNumber++}`;
		const sends: ActionSend[] = [];
		this.actions.set(key, sends);
		tally.actions++;
		for (let count = 0; count < maximumSends; count++) {
			const entry = await this.pickEntry(); // eslint-disable-line no-await-in-loop
			const isDoubled = random.nextInteger(8) === 0;
			const other = isDoubled ? await this.pickEntry() : entry; // eslint-disable-line no-await-in-loop
			const results = await Promise.all([this.sendAction(entry, key, sends), ...isDoubled ? [this.sendAction(other, key, sends)] : []]); // eslint-disable-line no-await-in-loop
			if (results.some(({execution}) => execution === 'run') || random.nextInteger(4) === 0) {
				return;
			}

			await cluster.timers.sleep(200 + random.nextInteger(1500)); // eslint-disable-line no-await-in-loop
		}
	}

	private async sendAction(entry: EntryProcess, key: string, sends: ActionSend[]): Promise<PlainResult> {
		const {tally} = this.environment;
		const result = await callOperation(entry.callerAddress, 'records/book-recheck', {
			authorization: `Bearer ${getApiKey('desks')}`, 'idempotency-key': key, 'x-deadline-ms': '4000',
		}, {park: key});
		tally.requests++;
		sends.push({execution: result.execution});
		this.recordExecution(result);
		return result;
	}

	private async readRecord(): Promise<void> {
		const entry = await this.pickEntry();
		const result = await callOperation(entry.callerAddress, 'records/site-history', {authorization: `Bearer ${getApiKey('inspectors')}`, 'x-deadline-ms': '5000'}, {site: 1});
		this.environment.tally.requests++;
		this.recordExecution(result);
	}

	private recordExecution({execution}: PlainResult): void {
		const {tally} = this.environment;
		if (execution === 'run') {
			tally.whole++;
		} else if (execution === 'not_run') {
			tally.refusedNotRun++;
		} else {
			tally.unknownOutcome++;
		}
	}
}
