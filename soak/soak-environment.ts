import {readFileSync} from 'node:fs';
import {Cluster, type Entry} from '../harness/cluster.js';
import {type Program} from '../harness/program.js';
import {RandomSource} from '../src/routing/random-source.js';
import {writeSheet} from '../harness/sheet-text.js';
import {Tally} from './tally.js';

/** Workspaces of the soak, with their tokens a minute. */
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

/** The sheet of the soak; the mark makes versions differ, a factor raises the limits. */
export function writeSoakSheet(mark: number, factor = 1): string {
	return writeSheet(workspaces.map(({name, tokens, streams, share}) => ({
		name, share: name === 'small' ? share - (mark % 9) : share, tokens: tokens * factor, streams: streams * factor, isGranted: true,
	})));
}

/** The processes of a soak run with what is known of them. */
export class SoakEnvironment {
	/** A word from the disk, so that prompts differ in length. */
	static readonly promptText = readFileSync(new URL('../../samples/lakeshore.csv', import.meta.url), 'utf8').replaceAll(/[^a-z]+/gv, ' ');

	readonly cluster = new Cluster({
		stop: {notice: '1 s', limit: '20 s'},
		limits: {deadline: '20 s'},
		traces: {ratio: '0', file: ''},
	});

	readonly tally = new Tally();
	readonly random: RandomSource;
	/** Every process that ever ran, for its log. */
	readonly programs = new Set<Program>();
	/** Entry instances that the balancer sends requests to. */
	readonly routable = new Set<Entry>();
	/** Entry instances that are stopping as planned. */
	readonly stopping = new Set<Entry>();
	/** Entry instances that were killed, frozen or are starting, with the time of the last such fault. */
	readonly disturbedAt = new Map<Entry, number>();
	/** Accepted versions with the time of acceptance. */
	readonly acceptedVersions = new Map<number, number>();
	isOver = false;

	constructor(seed: number) {
		this.random = new RandomSource(seed);
	}

	now(): number {
		return this.cluster.timers.now();
	}

	/** Starts all processes and accepts the first sheet. */
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
			const answers = await Promise.all(cluster.entries.map(async entry => cluster.answers(entry, 'ready')));
			return answers.every(Boolean);
		});
		// Instances are ready without a sheet too; until the first is in force everywhere, its keys are unknown to some.
		await cluster.waitFor(async () => {
			const versions = await Promise.all(cluster.entries.map(async entry => this.queryVersion(entry)));
			return versions.every(version => version > 0);
		});
		await cluster.waitFor(async () => {
			const explanation = await cluster.operator(cluster.entries[0]).explainRoute.query({model: 'findings'});
			return explanation.route.length === 3;
		});
		this.recordPrograms();
	}

	/** Submits a sheet and notes what came of it. */
	async submitSheet(entry: Entry, mark: number, expectedVersion: number, planner: string): Promise<void> {
		try {
			const reply = await this.cluster.operator(entry).submitSheet.mutate({
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

	/** The newest accepted version that is known to planners. */
	getNewestVersion(): number {
		return Math.max(0, ...this.acceptedVersions.keys());
	}

	recordPrograms(): void {
		for (const {program} of [...this.cluster.entries, ...this.cluster.backends]) {
			this.programs.add(program);
		}
	}

	/** The version of the sheet in force at an entry instance; 0 where none is. */
	private async queryVersion(entry: Entry): Promise<number> {
		const {version} = await this.cluster.operator(entry).showSheet.query();
		return version;
	}
}
