import {type BackendProcess, postControl, type EntryProcess} from '../harness/cluster.js';
import {RecordsFault} from '../simulators/records-simulator.js';
import {InstanceState} from '../src/store/instance-state.js';
import {type SoakEnvironment} from './soak-environment.js';

/** A fault with its recovery. `run` resolves when the fault has been undone, or at once if it ends by itself. */
type Fault = {
	readonly name: string;
	readonly run: () => Promise<void>;
};

const leavingGraceMs = 5000;

/** Injects faults on a seeded random schedule. Faults of different processes overlap; a fault can occur several times. */
export class FaultInjector {
	private readonly activeNames = new Set<string>();
	private readonly running = new Set<Promise<void>>();

	constructor(private readonly environment: SoakEnvironment) {}

	/** Starts faults until the run is over. Resolves when all of them have ended. */
	async run(): Promise<void> {
		const {random, cluster} = this.environment;
		while (!this.environment.isOver) {
			this.startFault(random.pick(this.createFaults()));
			// One fault in four is followed by the next one at once, so that faults overlap.
			const pause = random.nextInteger(4) === 0 ? 0 : 400 + random.nextInteger(1800);
			await cluster.timers.sleep(pause); // eslint-disable-line no-await-in-loop
		}

		await Promise.all(this.running);
	}

	private startFault({name, run}: Fault): void {
		if (this.activeNames.has(name)) {
			return;
		}

		this.activeNames.add(name);
		this.environment.tally.faults++;
		this.running.add(this.runFault(name, run));
	}

	private async runFault(name: string, run: () => Promise<void>): Promise<void> {
		try {
			await run();
		} catch (error) {
			this.environment.tally.addNote(`fault "${name}" failed or could not be undone: ${String(error)}`);
		}

		this.activeNames.delete(name);
	}

	private createFaults(): readonly Fault[] {
		const {cluster, random} = this.environment;
		const entry = random.pick(cluster.entries);
		const engine = random.pick(cluster.backends.filter(({id}) => id.startsWith('engine')));
		const records = random.pick(cluster.backends.filter(({id}) => id.startsWith('records')));
		// Faults of one process have the same name, and only one fault of a name runs at a time, so that none undoes another.
		return [
			{name: entry.id, run: async () => this.killEntry(entry)},
			{name: entry.id, run: async () => this.freezeEntry(entry)},
			{name: entry.id, run: async () => this.stopEntry(entry)},
			{name: engine.id, run: async () => this.killEngine(engine)},
			{name: engine.id, run: async () => this.freezeBackend(engine)},
			{name: engine.id, run: async () => this.announceLeaving(engine)},
			{name: engine.id, run: async () => postControl(engine.address, 'faults', {muteConnections: true})},
			{name: engine.id, run: async () => postControl(engine.address, 'faults', {resetConnections: true})},
			{name: engine.id, run: async () => this.slowEngine(engine)},
			{name: records.id, run: async () => this.freezeBackend(records)},
			{name: `${records.id} fault`, run: async () => this.failRecords(records)},
			{name: `${records.id} fault`, run: async () => this.failRecords(records)},
			{name: 'platform', run: async () => this.disturbPlatform({isDown: true}, {isDown: false})},
			{name: 'platform', run: async () => this.disturbPlatform({isSilent: true}, {isSilent: false})},
			{name: 'platform', run: async () => this.disturbPlatform({delay: 300}, {delay: 0})},
			{name: 'answers', run: async () => postControl(cluster.platformAddress, 'faults', {loseAnswers: 1 + random.nextInteger(4)})},
			{name: 'sheets', run: async () => this.submitConflictingSheets()},
		];
	}

	private async sleepRandomly(longest: number): Promise<void> {
		await this.environment.cluster.timers.sleep(300 + this.environment.random.nextInteger(longest));
	}

	/** Excuses connections lost at an entry instance until it is marked as recovered. */
	private markDisturbed(entry: EntryProcess): void {
		this.environment.disturbedAt.set(entry, Number.POSITIVE_INFINITY);
	}

	private markRecovered(entry: EntryProcess): void {
		this.environment.disturbedAt.set(entry, this.environment.now());
	}

	private async killEntry(entry: EntryProcess): Promise<void> {
		this.markDisturbed(entry);
		await entry.program.kill();
		await this.sleepRandomly(1500);
		await this.environment.cluster.restartEntry(entry);
		this.markRecovered(entry);
	}

	private async freezeEntry(entry: EntryProcess): Promise<void> {
		this.markDisturbed(entry);
		entry.program.sendSignal('SIGSTOP');
		await this.sleepRandomly(9000);
		entry.program.sendSignal('SIGCONT');
		await this.sleepRandomly(100);
		this.markRecovered(entry);
	}

	private async stopEntry(entry: EntryProcess): Promise<void> {
		const {stopping, cluster, tally} = this.environment;
		stopping.add(entry);
		entry.program.sendSignal('SIGTERM');
		const code = await entry.program.waitForExit();
		if (code !== 0) {
			tally.cutOffByStop++;
			tally.addNote(`the planned stop of ${entry.id} ended with exit code ${code}: ${entry.program.errorLines.slice(-2).join(' | ')}`);
		}

		this.markDisturbed(entry);
		await cluster.restartEntry(entry);
		stopping.delete(entry);
		this.markRecovered(entry);
	}

	private async killEngine(engine: BackendProcess): Promise<void> {
		await engine.program.kill();
		await this.sleepRandomly(2500);
		await engine.restart();
	}

	private async freezeBackend(backend: BackendProcess): Promise<void> {
		backend.program.sendSignal('SIGSTOP');
		await this.sleepRandomly(3000);
		backend.program.sendSignal('SIGCONT');
	}

	/** Marks a server as leaving in the instance list. New work that starts there more than 5 s later is a violation. */
	private async announceLeaving(engine: BackendProcess): Promise<void> {
		const {cluster} = this.environment;
		await cluster.updateInstanceList([{...engine.listed, state: InstanceState.Leaving}]);
		await cluster.timers.sleep(leavingGraceMs);
		await postControl(engine.address, 'faults', {isLeaving: true});
		await this.sleepRandomly(2000);
		await engine.restart();
		await cluster.updateInstanceList([engine.listed]);
	}

	private async slowEngine(engine: BackendProcess): Promise<void> {
		const {cluster} = this.environment;
		const linkDelays = Object.fromEntries(cluster.backends.map(({id}) => [id, 100]));
		await postControl(engine.address, 'faults', {linkDelays, slowness: 5});
		await this.sleepRandomly(3000);
		await postControl(engine.address, 'faults', {linkDelays: {}, slowness: 1});
	}

	private async failRecords(records: BackendProcess): Promise<void> {
		const {random} = this.environment;
		await postControl(records.address, 'faults', {fault: random.pick(Object.values(RecordsFault)), count: 1 + random.nextInteger(3)});
	}

	private async disturbPlatform(faults: Record<string, unknown>, recovery: Record<string, unknown>): Promise<void> {
		const {cluster} = this.environment;
		await postControl(cluster.platformAddress, 'faults', faults);
		await this.sleepRandomly(6000);
		await postControl(cluster.platformAddress, 'faults', recovery);
	}

	/** Two planners submit sheets at the same time, both based on the same version. */
	private async submitConflictingSheets(): Promise<void> {
		const {environment} = this;
		const knownVersion = environment.getNewestVersion();
		const mark = environment.random.nextInteger(1_000_000);
		const entries = [environment.random.pick(environment.cluster.entries), environment.random.pick(environment.cluster.entries)];
		await Promise.all(entries.map(async (entry, index) => environment.submitSheet(entry, mark + index, knownVersion, `planner-${index}`)));
	}
}
