import {type Backend, control, type Entry} from '../harness/cluster.js';
import {RecordsFault} from '../stand-ins/records-stand-in.js';
import {InstanceState} from '../src/store/instance-state.js';
import {type SoakEnvironment} from './soak-environment.js';

type Fault = {
	readonly name: string;
	readonly work: () => Promise<void>;
};

const leavingDelayMs = 5000;

/** A seeded schedule of faults, some together and some twice. */
export class FaultInjector {
	private readonly busy = new Set<string>();
	private readonly running = new Set<Promise<void>>();

	constructor(private readonly world: SoakEnvironment) {}

	/** Brings about faults until the world is over; resolves when all are mended. */
	async run(): Promise<void> {
		const {random, cluster} = this.world;
		while (!this.world.isOver) {
			this.begin(random.pick(this.kinds()));
			// Now and then another comes at once.
			const pause = random.nextInteger(4) === 0 ? 0 : 400 + random.nextInteger(1800);
			await cluster.timers.sleep(pause); // eslint-disable-line no-await-in-loop
		}

		await Promise.all(this.running);
	}

	private begin({name, work}: Fault): void {
		if (this.busy.has(name)) {
			return;
		}

		this.busy.add(name);
		this.world.tally.faults++;
		this.running.add(this.carryOut(name, work));
	}

	private async carryOut(name: string, work: () => Promise<void>): Promise<void> {
		try {
			await work();
		} catch (error) {
			this.world.tally.note(`the fault ${name} could not be mended: ${String(error)}`);
		}

		this.busy.delete(name);
	}

	private kinds(): readonly Fault[] {
		const {cluster, random} = this.world;
		const entry = random.pick(cluster.entries);
		const engine = random.pick(cluster.backends.filter(({id}) => id.startsWith('engine')));
		const records = random.pick(cluster.backends.filter(({id}) => id.startsWith('records')));
		// Faults of one process share a name, so that they do not undo each other.
		return [
			{name: entry.id, work: async () => this.killEntry(entry)},
			{name: entry.id, work: async () => this.freezeEntry(entry)},
			{name: entry.id, work: async () => this.stopEntry(entry)},
			{name: engine.id, work: async () => this.killEngine(engine)},
			{name: engine.id, work: async () => this.freezeBackend(engine)},
			{name: engine.id, work: async () => this.leave(engine)},
			{name: engine.id, work: async () => control(engine.address, 'faults', {muteConnections: true})},
			{name: engine.id, work: async () => control(engine.address, 'faults', {resetConnections: true})},
			{name: engine.id, work: async () => this.slow(engine)},
			{name: records.id, work: async () => this.freezeBackend(records)},
			{name: `${records.id} fault`, work: async () => this.failRecords(records)},
			{name: `${records.id} fault`, work: async () => this.failRecords(records)},
			{name: 'platform', work: async () => this.platformFault({isDown: true}, {isDown: false})},
			{name: 'platform', work: async () => this.platformFault({isSilent: true}, {isSilent: false})},
			{name: 'platform', work: async () => this.platformFault({delay: 300}, {delay: 0})},
			{name: 'answers', work: async () => control(cluster.platform, 'faults', {loseAnswers: 1 + random.nextInteger(4)})},
			{name: 'sheets', work: async () => this.raceSheets()},
		];
	}

	private async pause(longest: number): Promise<void> {
		await this.world.cluster.timers.sleep(300 + this.world.random.nextInteger(longest));
	}

	private disturb(entry: Entry): void {
		this.world.disturbedAt.set(entry, Number.POSITIVE_INFINITY);
	}

	private settle(entry: Entry): void {
		this.world.disturbedAt.set(entry, this.world.now());
	}

	private async killEntry(entry: Entry): Promise<void> {
		this.disturb(entry);
		await entry.program.kill();
		await this.pause(1500);
		await this.world.cluster.restartEntry(entry);
		this.settle(entry);
	}

	private async freezeEntry(entry: Entry): Promise<void> {
		this.disturb(entry);
		entry.program.signal('SIGSTOP');
		await this.pause(9000);
		entry.program.signal('SIGCONT');
		await this.pause(100);
		this.settle(entry);
	}

	private async stopEntry(entry: Entry): Promise<void> {
		const {stopping, cluster, tally} = this.world;
		stopping.add(entry);
		entry.program.signal('SIGTERM');
		const code = await entry.program.exited();
		if (code !== 0) {
			tally.cutOffByStop++;
			tally.note(`the planned stop of ${entry.id} ended with ${code}: ${entry.program.errors.slice(-2).join(' | ')}`);
		}

		this.disturb(entry);
		await cluster.restartEntry(entry);
		stopping.delete(entry);
		this.settle(entry);
	}

	private async killEngine(engine: Backend): Promise<void> {
		await engine.program.kill();
		await this.pause(2500);
		await engine.restart();
	}

	private async freezeBackend(backend: Backend): Promise<void> {
		backend.program.signal('SIGSTOP');
		await this.pause(3000);
		backend.program.signal('SIGCONT');
	}

	/** The instance list says that a server is leaving; after 5 s a start of new work there is a violation. */
	private async leave(engine: Backend): Promise<void> {
		const {cluster} = this.world;
		await cluster.list([{...engine.listed, state: InstanceState.Leaving}]);
		await cluster.timers.sleep(leavingDelayMs);
		await control(engine.address, 'faults', {isLeaving: true});
		await this.pause(2000);
		await engine.restart();
		await cluster.list([engine.listed]);
	}

	private async slow(engine: Backend): Promise<void> {
		const {cluster} = this.world;
		const linkDelays = Object.fromEntries(cluster.backends.map(({id}) => [id, 100]));
		await control(engine.address, 'faults', {linkDelays, slowness: 5});
		await this.pause(3000);
		await control(engine.address, 'faults', {linkDelays: {}, slowness: 1});
	}

	private async failRecords(records: Backend): Promise<void> {
		const {random} = this.world;
		await control(records.address, 'faults', {fault: random.pick(Object.values(RecordsFault)), count: 1 + random.nextInteger(3)});
	}

	private async platformFault(begin: Record<string, unknown>, end: Record<string, unknown>): Promise<void> {
		const {cluster} = this.world;
		await control(cluster.platform, 'faults', begin);
		await this.pause(6000);
		await control(cluster.platform, 'faults', end);
	}

	/** Two planners submit at the same time over the version that both saw. */
	private async raceSheets(): Promise<void> {
		const {world} = this;
		const seen = world.newestVersion();
		const mark = world.random.nextInteger(1_000_000);
		const entries = [world.random.pick(world.cluster.entries), world.random.pick(world.cluster.entries)];
		await Promise.all(entries.map(async (entry, index) => world.submit(entry, mark + index, seen, `planner-${index}`)));
	}
}
