import {readFileSync} from 'node:fs';
import {Cluster, type EntryProcess} from '../harness/cluster.js';
import {type Program} from '../harness/program.js';
import {RandomSource} from '../src/routing/random-source.js';
import {writeSheet} from '../harness/sheet-text.js';
import {Tally} from './tally.js';

/** Workspaces of the soak. `tokens` are a minute, `streams` are concurrent, `share` is in percent. */
export const workspaces = [
	{
		name: 'inspectors', tokens: 200_000, streams: 60, share: 60,
	},
	{
		name: 'desks', tokens: 60_000, streams: 20, share: 30,
	},
	{
		name: 'small', tokens: 3000, streams: 3, share: 10,
	},
] as const;

/** Writes the sheet of the soak. Different marks give different contents; the factor multiplies all limits. */
export function writeSoakSheet(mark: number, factor = 1): string {
	return writeSheet(workspaces.map(({name, tokens, streams, share}) => ({
		name, share: name === 'small' ? share - (mark % 9) : share, tokens: tokens * factor, streams: streams * factor, isGranted: true,
	})));
}

/** The processes of a soak run, their state, and the tally. */
export class SoakEnvironment {
	/** Text from which prompts of different lengths are cut. */
	static readonly promptText = readFileSync(new URL('../../samples/lakeshore.csv', import.meta.url), 'utf8').replaceAll(/[^a-z]+/gv, ' ');

	readonly cluster = new Cluster({
		stop: {notice: '1 s', limit: '20 s'},
		limits: {deadline: '20 s'},
		traces: {ratio: '0', file: ''},
	});

	readonly tally = new Tally();
	readonly random: RandomSource;
	/** All processes of the run, including ended ones, whose logs are checked at the end. */
	readonly programs = new Set<Program>();
	/** Entry instances that are ready and get requests. */
	readonly routable = new Set<EntryProcess>();
	/** Entry instances in a planned stop. */
	readonly stopping = new Set<EntryProcess>();
	/** Time of the last fault of each entry instance that was killed, frozen or restarted; infinite while the fault lasts. */
	readonly disturbedAt = new Map<EntryProcess, number>();
	/** Time of acceptance of each accepted sheet version. */
	readonly acceptedVersions = new Map<number, number>();
	isOver = false;

	constructor(seed: number) {
		this.random = new RandomSource(seed);
	}

	now(): number {
		return this.cluster.timers.now();
	}

	/** Starts all processes, submits the first sheet, and waits until all entry instances have it and have a route. */
	async start(): Promise<void> {
		const {cluster} = this;
		await cluster.startPlatform();
		await Promise.all([[0, 8], [8, 16], [16, 24]].flatMap(([firstLayer, endLayer]) => ['a', 'b'].map(async letter => cluster.startEngine({
			id: `engine-${firstLayer}${letter}`, firstLayer, endLayer, layers: 24, step: 2, decode: 0.1, tokenRate: 3000,
		}))));
		await cluster.startRecords('records-1');
		await cluster.startRecords('records-2');
		for (const id of ['entry-a', 'entry-b', 'entry-c']) {
			await cluster.startEntry(id); // eslint-disable-line no-await-in-loop
		}

		await this.submitSheet(cluster.entries[0], 0, 0, 'first');
		await cluster.waitFor(async () => {
			const answers = await Promise.all(cluster.entries.map(async entry => cluster.isResponding(entry, 'ready')));
			return answers.every(Boolean);
		});
		// Instances are ready even without a sheet. Until the first one is in force at all of them, some reject its API keys.
		await cluster.waitFor(async () => {
			const versions = await Promise.all(cluster.entries.map(async entry => this.queryVersion(entry)));
			return versions.every(version => version > 0);
		});
		await cluster.waitFor(async () => {
			const explanation = await cluster.createOperatorClient(cluster.entries[0]).explainRoute.query({model: 'findings'});
			return explanation.route.length === 3;
		});
		this.recordPrograms();
	}

	/** Submits a sheet and records whether it was accepted. */
	async submitSheet(entry: EntryProcess, mark: number, expectedVersion: number, planner: string): Promise<void> {
		try {
			const reply = await this.cluster.createOperatorClient(entry).submitSheet.mutate({
				text: writeSoakSheet(mark), seen: expectedVersion, planner, id: `${planner}-${mark}`,
			});
			if ('value' in reply && reply.value.version !== undefined) {
				this.tally.sheetsAccepted += reply.value.isUnchanged ? 0 : 1;
				if (!this.acceptedVersions.has(reply.value.version)) {
					this.acceptedVersions.set(reply.value.version, this.now());
				}
			} else {
				this.tally.sheetsLost++;
			}
		} catch {
			this.tally.sheetsLost++;
		}
	}

	/** Returns the newest accepted version; 0 if there is none. */
	getNewestVersion(): number {
		return Math.max(0, ...this.acceptedVersions.keys());
	}

	/** Adds the current processes to `programs`. */
	recordPrograms(): void {
		for (const {program} of [...this.cluster.entries, ...this.cluster.backends]) {
			this.programs.add(program);
		}
	}

	/** Queries the version of the sheet in force at an entry instance; 0 if there is none. */
	private async queryVersion(entry: EntryProcess): Promise<number> {
		const {version} = await this.cluster.createOperatorClient(entry).showSheet.query();
		return version;
	}
}
