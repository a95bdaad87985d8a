import {Cluster, type SettingsOverrides} from '../harness/cluster.js';
import {freePort} from '../harness/ports.js';
import {Program} from '../harness/program.js';
import {type EngineSettings} from '../simulators/engine-settings.js';
import {getApiKey} from '../harness/sheet-text.js';
import {writeSoakSheet} from '../soak/soak-environment.js';
import {createListedInstance} from './fleet-plan.js';

const enginesPerProcess = 4;
const concurrentStarts = 6;

/** A cluster for measurements. Several engines share a process, and tracing is off. */
export class MeasurementCluster {
	readonly cluster: Cluster;
	private readonly programs: Program[] = [];

	constructor(overrides: SettingsOverrides = {}) {
		this.cluster = new Cluster({
			...overrides, traces: {ratio: '0', file: ''}, logs: {level: 'info', format: 'text'}, stop: {notice: '100 ms'},
		});
	}

	/** API key of the callers. */
	get key(): string {
		return getApiKey('inspectors');
	}

	/** Starts engines, several in a process, and adds them to the instance list. */
	async startFleet(fleet: readonly EngineSettings[]): Promise<void> {
		const engines = await Promise.all(fleet.map(async settings => ({...settings, port: await freePort()})));
		for (let index = 0; index < engines.length; index += enginesPerProcess) {
			const program = Program.start(`engines-${index}`, 'simulators/engine.js', [JSON.stringify(engines.slice(index, index + enginesPerProcess))]);
			await program.waitForLine('listening'); // eslint-disable-line no-await-in-loop
			this.programs.push(program);
		}

		await this.cluster.updateInstanceList(engines.map(settings => createListedInstance(settings, `127.0.0.1:${settings.port}`)));
	}

	/** Starts entry instances, submits the first sheet, and waits until it is in force at all of them. */
	async startEntries(count: number): Promise<void> {
		const {cluster} = this;
		for (let first = 0; first < count; first += concurrentStarts) {
			const indexes = Array.from({length: Math.min(concurrentStarts, count - first)}, (_, index) => first + index);
			await Promise.all(indexes.map(async index => cluster.startEntry(`entry-${index}`))); // eslint-disable-line no-await-in-loop
		}

		await cluster.createOperatorClient(cluster.entries[0]).submitSheet.mutate({
			text: writeSoakSheet(0, 1000), seen: 0, planner: 'measure', id: 'first',
		});
		await cluster.waitFor(async () => {
			const versions = await Promise.all(cluster.entries.map(async entry => cluster.readMetric(entry, 'siskinnotch_configuration_version')));
			return versions.every(version => version === 1);
		}, 30_000);
	}

	/** Waits until all entry instances find a route for the model. */
	async waitForRoutes(): Promise<void> {
		const {cluster} = this;
		await cluster.waitFor(async () => {
			const explanations = await Promise.all(cluster.entries.map(async entry => cluster.createOperatorClient(entry).explainRoute.query({model: 'findings'})));
			return explanations.every(({route}) => route.length > 0);
		});
	}

	/** Kills all processes. */
	async stop(): Promise<void> {
		await Promise.all(this.programs.map(async program => program.kill()));
		await this.cluster.stop();
	}
}
