import {askForDraft, DraftEnd, type DraftResult} from '../harness/draft-caller.js';
import {type Entry} from '../harness/cluster.js';
import {callOperation, type PlainResult} from '../harness/plain-caller.js';
import {keyOf} from '../harness/sheet-text.js';
import {workspaces, SoakEnvironment} from './soak-environment.js';

const drafters = 10;
const bookers = 4;
const readers = 2;
const longestPauseMs = 150;
const mostSends = 4;
const refusalsWithoutReturn = new Set(['TokenLimitReached', 'DeadlinePassed', 'CallerGone', 'StreamInterrupted']);

/** One send of a one-time action, with the answer. */
type Send = {
	readonly execution: string;
};

/** Callers of all kinds, who check what they get. */
export class LoadGenerator {
	/** Sends of each action, by its key. */
	readonly actions = new Map<string, Send[]>();
	private nextNumber = 0;

	constructor(private readonly world: SoakEnvironment) {}

	/** Runs until the world is over; resolves when the last caller has its answer. */
	async run(): Promise<void> {
		const loops = [
			...Array.from({length: drafters}, async () => this.repeat(async () => this.draft())),
			...Array.from({length: bookers}, async () => this.repeat(async () => this.book())),
			...Array.from({length: readers}, async () => this.repeat(async () => this.read())),
		];
		await Promise.all(loops);
	}

	private async repeat(work: () => Promise<void>): Promise<void> {
		while (!this.world.isOver) {
			await work(); // eslint-disable-line no-await-in-loop
			await this.world.cluster.timers.sleep(this.world.random.nextInteger(longestPauseMs)); // eslint-disable-line no-await-in-loop
		}
	}

	private async entry(): Promise<Entry> {
		const {balanced, cluster, random} = this.world;
		while (balanced.size === 0) {
			await cluster.timers.sleep(longestPauseMs); // eslint-disable-line no-await-in-loop
		}

		return random.pick([...balanced]);
	}

	private async draft(): Promise<void> {
		const {random, tally} = this.world;
		const entry = await this.entry();
		const begin = this.world.now();
		const start = random.nextInteger(200);
		const {name} = random.pick(workspaces);
		const result = await askForDraft({
			callers: entry.callers,
			key: keyOf(name),
			model: 'findings',
			prompt: `${this.nextNumber++} ${SoakEnvironment.text.slice(start, start + random.nextInteger(600))}`,
			maximumTokens: 16 + random.nextInteger(60),
			abandonAfter: random.nextInteger(10) === 0 ? random.nextInteger(20) : undefined,
		});
		tally.requests++;
		this.judgeDraft(result, entry, begin);
	}

	private judgeDraft(result: DraftResult, entry: Entry, begin: number): void {
		const {tally, stopping, disturbedAt} = this.world;
		switch (result.end) {
			case DraftEnd.Whole: {
				tally.whole++;
				break;
			}

			case DraftEnd.Refused: {
				this.countRefusal(result);
				break;
			}

			case DraftEnd.Interrupted: {
				tally.interrupted++;
				break;
			}

			case DraftEnd.Abandoned: {
				tally.abandoned++;
				break;
			}

			case DraftEnd.ConnectionLost: {
				tally.connectionsLost++;
				const wasDisturbed = (disturbedAt.get(entry) ?? -1) >= begin;
				if (!wasDisturbed) {
					tally.cutOffByStop++;
					tally.note(`${entry.id}${stopping.has(entry) ? ', stopping as planned,' : ''} lost a connection after ${result.tokens} tokens`);
				}

				break;
			}

			case DraftEnd.Wrong: {
				tally.wrongTokens++;
				tally.note(`${entry.id}: ${result.fault}`);
				break;
			}
		}
	}

	private countRefusal({execution, code, retryAfter}: DraftResult): void {
		const {tally} = this.world;
		if (execution === 'not_run') {
			tally.refusedNotRun++;
			if (retryAfter === 0 && !refusalsWithoutReturn.has(code)) {
				tally.missingRetryAfter++;
				tally.note(`${code} without a time to come back`);
			}
		} else {
			tally.unknownOutcome++;
		}
	}

	private async book(): Promise<void> {
		const {tally, random, cluster} = this.world;
		const key = `action-${this.nextNumber++}`;
		const sends: Send[] = [];
		this.actions.set(key, sends);
		tally.actions++;
		for (let count = 0; count < mostSends; count++) {
			const entry = await this.entry(); // eslint-disable-line no-await-in-loop
			const isDoubled = random.nextInteger(8) === 0;
			const other = isDoubled ? await this.entry() : entry; // eslint-disable-line no-await-in-loop
			const results = await Promise.all([this.send(entry, key, sends), ...isDoubled ? [this.send(other, key, sends)] : []]); // eslint-disable-line no-await-in-loop
			if (results.some(({execution}) => execution === 'run') || random.nextInteger(4) === 0) {
				return;
			}

			await cluster.timers.sleep(200 + random.nextInteger(1500)); // eslint-disable-line no-await-in-loop
		}
	}

	private async send(entry: Entry, key: string, sends: Send[]): Promise<PlainResult> {
		const {tally} = this.world;
		const result = await callOperation(entry.callers, 'records/book-recheck', {
			authorization: `Bearer ${keyOf('desks')}`, 'idempotency-key': key, 'x-deadline-ms': '4000',
		}, {park: key});
		tally.requests++;
		sends.push({execution: result.execution});
		this.countPlain(result);
		return result;
	}

	private async read(): Promise<void> {
		const entry = await this.entry();
		const result = await callOperation(entry.callers, 'records/site-history', {authorization: `Bearer ${keyOf('inspectors')}`, 'x-deadline-ms': '5000'}, {site: 1});
		this.world.tally.requests++;
		this.countPlain(result);
	}

	private countPlain({execution}: PlainResult): void {
		const {tally} = this.world;
		if (execution === 'run') {
			tally.whole++;
		} else if (execution === 'not_run') {
			tally.refusedNotRun++;
		} else {
			tally.unknownOutcome++;
		}
	}
}
