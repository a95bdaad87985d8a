import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {Agent} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import got from 'got';
import {stringify} from 'ini';
import {createProcedureClient, type ProcedureClient} from '../src/peers/trpc-peers.js';
import {type ListedInstance} from '../src/store/listed-instance.js';
import {InstanceRole} from '../src/store/instance-role.js';
import {InstanceState} from '../src/store/instance-state.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {type EngineSettings} from '../simulators/engine-settings.js';
import {freePort} from './ports.js';
import {Program} from './program.js';

/** Secret that the entry instances of a test cluster share. */
export const peerSecret = 'harness-peer-secret-1';
/** Secret that operators of a test cluster send. */
export const operatorSecret = 'harness-operator-secret-1';

const startTimeoutMs = 10_000;
const pollPeriodMs = 25;
const controlTimeoutMs = 5000;

/** Settings of entry instances that override the defaults, by section and key. */
export type SettingsOverrides = Readonly<Record<string, Readonly<Record<string, string>>>>;

/** A running entry instance: its process, the addresses it listens on and its entry in the instance list. */
export type EntryProcess = {
	readonly id: string;
	program: Program;
	/** Address of the interface for callers. */
	readonly callerAddress: string;
	/** Address of the interface for peers and operators. */
	readonly peerAddress: string;
	/** Path of the settings file. */
	readonly settingsFile: string;
	readonly listed: ListedInstance;
};

/** A running backend server: its process, address and entry in the instance list. */
export type BackendProcess = {
	readonly id: string;
	program: Program;
	readonly address: string;
	readonly listed: ListedInstance;
	/** Kills the process and starts it again on the same port. */
	readonly restart: () => Promise<void>;
};

/** Request options of control calls. Each call opens a new connection, because existing ones may be muted by a fault. */
function createControlOptions() {
	return {retry: {limit: 0}, agent: {http: new Agent({keepAlive: false})}, timeout: {request: controlTimeoutMs}};
}

/** Posts JSON to the control interface of a simulator. Rejects if the simulator does not answer. */
export async function postControl(address: string, path: string, body: unknown): Promise<void> {
	await got.post(`http://${address}/control/${path}`, {json: body, ...createControlOptions()});
}

/** Reads JSON from the control interface of a simulator. */
export async function readControl<Value>(address: string, path: string): Promise<Value> {
	return got(`http://${address}/control/${path}`, createControlOptions()).json<Value>();
}

/** Runs the platform, backend servers and entry instances as separate processes on loopback, for the demo, tests, measurements and soak runs. */
export class Cluster {
	readonly entries: EntryProcess[] = [];
	readonly backends: BackendProcess[] = [];
	readonly directory = mkdtempSync(join(tmpdir(), 'siskinnotch-'));
	/** Address of the platform simulator; empty before it has started. */
	platformAddress = '';
	readonly timers = new ClockTimerService();
	private platformProgram?: Program;
	private readonly overrides: SettingsOverrides;

	/**
	@param overrides - settings that all entry instances override, by section and key
	*/
	constructor(overrides: SettingsOverrides = {}) {
		this.overrides = overrides;
	}

	/** Starts the platform simulator. Must come before any other process. */
	async startPlatform(): Promise<void> {
		const port = await freePort();
		this.platformProgram = Program.start('platform', 'simulators/platform.js', [String(port)]);
		await this.platformProgram.waitForLine('listening');
		this.platformAddress = `127.0.0.1:${port}`;
	}

	/** Starts an engine simulator and adds it to the instance list. */
	async startEngine(settings: Partial<EngineSettings> & Pick<EngineSettings, 'id' | 'firstLayer' | 'endLayer' | 'layers'>, service = 'drafting'): Promise<BackendProcess> {
		const port = await freePort();
		const parameters = [JSON.stringify([{...settings, port}])];
		return this.addBackend({
			id: settings.id,
			role: InstanceRole.Engine,
			service,
			address: `127.0.0.1:${port}`,
			version: settings.version ?? 'v1',
			firstLayer: settings.firstLayer,
			endLayer: settings.endLayer,
			tokenRate: settings.tokenRate ?? 1000,
		}, () => Program.start(settings.id, 'simulators/engine.js', parameters));
	}

	/** Starts a records service simulator and adds it to the instance list. */
	async startRecords(id: string, service = 'records'): Promise<BackendProcess> {
		const port = await freePort();
		return this.addBackend(
			{
				id, role: InstanceRole.Plain, service, address: `127.0.0.1:${port}`,
			},
			() => Program.start(id, 'simulators/records.js', [String(port)]),
		);
	}

	/** Starts an entry instance, adds it to the instance list and waits until it answers health checks. */
	async startEntry(id: string, overrides: SettingsOverrides = {}): Promise<EntryProcess> {
		const callers = `127.0.0.1:${await freePort()}`;
		const peers = `127.0.0.1:${await freePort()}`;
		const file = join(this.directory, `${id}.ini`);
		const sections: Record<string, Record<string, string>> = {
			instance: {
				id, availability_zone: 'zone-a', callers, peers, // eslint-disable-line @typescript-eslint/naming-convention
			},
			platform: {url: `http://${this.platformAddress}`},
			secrets: {peers: peerSecret, operators: operatorSecret},
			logs: {level: 'info', format: 'text'},
			traces: {file: join(this.directory, `${id}.traces`)},
		};
		for (const override of [this.overrides, overrides]) {
			for (const [section, values] of Object.entries(override)) {
				sections[section] = {...sections[section], ...values};
			}
		}

		writeFileSync(file, stringify(sections));
		const listed = {
			...defaultListedInstance, id, role: InstanceRole.Entry, address: peers,
		};
		const entry: EntryProcess = {
			id, program: Program.start(id, 'src/daemon.js', ['--settings', file]), callerAddress: callers, peerAddress: peers, settingsFile: file, listed,
		};
		this.entries.push(entry);
		await this.updateInstanceList([listed]);
		await this.waitFor(async () => this.isResponding(entry, 'health'));
		return entry;
	}

	/** Kills the process of an entry instance if it still runs, starts a new one and waits until it answers health checks. */
	async restartEntry(entry: EntryProcess): Promise<void> {
		await entry.program.kill();
		entry.program = Program.start(entry.id, 'src/daemon.js', ['--settings', entry.settingsFile]);
		await this.waitFor(async () => this.isResponding(entry, 'health'));
	}

	/** Adds or replaces entries of the platform's instance list. */
	async updateInstanceList(instances: readonly ListedInstance[]): Promise<void> {
		await postControl(this.platformAddress, 'instances', {instances});
	}

	/** Whether an entry instance answers a GET of a path with a success status within 500 ms. */
	async isResponding({callerAddress}: EntryProcess, path: string): Promise<boolean> {
		try {
			await got(`http://${callerAddress}/${path}`, {retry: {limit: 0}, timeout: {request: 500}});
			return true;
		} catch {
			return false;
		}
	}

	/** Creates a client that calls an entry instance's procedures with the operator secret. */
	createOperatorClient({peerAddress}: EntryProcess): ProcedureClient {
		return createProcedureClient(peerAddress, operatorSecret);
	}

	/** Reads a metric of an entry instance; 0 if the series does not exist. */
	async readMetric({callerAddress}: EntryProcess, series: string): Promise<number> {
		const text = await got(`http://${callerAddress}/metrics`, createControlOptions()).text();
		const line = text.split('\n').find(candidate => candidate.startsWith(`${series} `));
		return Number(line?.split(' ').at(-1) ?? 0);
	}

	/** Polls a condition until it holds. Rejects after the timeout, with the last error lines of the entry instances in the message. */
	async waitFor(condition: () => Promise<boolean>, timeoutMs = startTimeoutMs): Promise<void> {
		const deadline = this.timers.now() + timeoutMs;
		while (!await condition()) { // eslint-disable-line no-await-in-loop
			if (this.timers.now() > deadline) {
				const logs = this.entries.flatMap(({id, program}) => program.errorLines.slice(-5).map(line => `${id}: ${line}`));
				throw new Error(`the condition did not hold within ${timeoutMs} ms\n${logs.join('\n')}`);
			}

			await this.timers.sleep(pollPeriodMs); // eslint-disable-line no-await-in-loop
		}
	}

	/** Kills all processes and removes the temporary directory. */
	async stop(): Promise<void> {
		const programs = [...this.entries, ...this.backends].map(({program}) => program);
		await Promise.all([...programs, this.platformProgram].map(async program => program?.kill()));
		rmSync(this.directory, {recursive: true, force: true});
	}

	private async addBackend(listed: Partial<ListedInstance> & Pick<ListedInstance, 'id' | 'address'>, start: () => Program): Promise<BackendProcess> {
		const program = start();
		await program.waitForLine('listening');
		const backend: BackendProcess = {
			id: listed.id,
			program,
			address: listed.address,
			listed: {...defaultListedInstance, ...listed},
			async restart() {
				await backend.program.kill();
				backend.program = start();
				await backend.program.waitForLine('listening');
			},
		};
		this.backends.push(backend);
		await this.updateInstanceList([backend.listed]);
		return backend;
	}
}

const defaultListedInstance: ListedInstance = {
	id: '', role: InstanceRole.Plain, state: InstanceState.Live, address: '', zone: 'zone-a', service: '', version: '', firstLayer: 0, endLayer: 0, accelerator: '', tokenRate: 1000,
};
