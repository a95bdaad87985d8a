import {
	appendFileSync, mkdtempSync, readFileSync, writeFileSync,
} from 'node:fs';
import {request as startRequest, type IncomingMessage} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {spawn, type ChildProcess} from 'node:child_process';
import process from 'node:process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import * as z from 'zod';
import {freePort} from '../../harness/ports.js';
import {ClockTimerService} from '../../src/time/clock-timer-service.js';
import {StageSimulator} from '../../simulators/stage-simulator.js';
import {StoreSimulator} from '../../simulators/store-simulator.js';
import {type PartitionKind, writePartition} from './partition.js';
import {countDescriptors, readPeakMemory} from './process-memory.js';
import {StageHeartbeats} from './stage-heartbeats.js';

/** A response as received by a caller. */
export type CallerResponse = {
	readonly status: number;
	readonly text: string;
	readonly headers: IncomingMessage['headers'];
	/** Whether the response was received completely. */
	readonly isComplete: boolean;
};

/** What a caller sends, and when it leaves. */
export type CallerOptions = {
	readonly method?: string;
	readonly body?: string;
	readonly key?: string;
	readonly promptParts?: string;
	/** Milliseconds after which the caller leaves. */
	readonly leaveAfter?: number;
	/** Milliseconds without data after which the caller leaves. */
	readonly idleTimeout?: number;
	/** The caller leaves when this is aborted. */
	readonly departure?: AbortSignal;
};

/** The secret of operators in the settings of these routers. */
export const operatorSecret = 'secret-of-operators';
const conditionTimeoutMs = 15_000;
const pollIntervalMs = 25;
/** Observations in a row after which the router is taken for busy. */
const busyObservations = 20;
/** As the deployed router has it. */
const heapLimit = '--max-old-space-size=200';
const defaultStageCount = 4;
const services = {model: 'svc-model', records: 'svc-records'};

/** Creates an operator's configuration in the format of the platform. */
export function createSiteConfiguration(version: number, recordsTimeout = 800) {
	const route = {hostname: 'site.example', priority: 1, anonymous: false};
	return {
		version,
		routes: [
			{
				...route, name: 'drafts', pathPrefix: '/drafts/', routeType: 'streaming', timeoutMs: 5000, targetLatencyMs: 500, service: services.model, maxAttempts: 2, streamResume: true,
			},
			{
				...route, name: 'records', pathPrefix: '/records/', routeType: 'non_idempotent', timeoutMs: recordsTimeout, targetLatencyMs: 300, service: services.records, maxAttempts: 1,
			},
			{
				...route, name: 'lookups', pathPrefix: '/lookups/', routeType: 'idempotent', timeoutMs: 800, targetLatencyMs: 300, service: services.records, maxAttempts: 2,
			},
		],
		services: [
			{
				name: services.model,
				maxConnections: 100,
				inferenceEngine: {
					/* eslint-disable @typescript-eslint/naming-convention */
					batchSlots: 134,
					kvTokenBytes: 1_315_343,
					stepsPerPass: 3,
					loadedModels: [{loadTimeS: 1}],
					step_ms: 1,
					per_seq_ms: 0.01,
					context_per_k: 0.01,
					read_per_s: 105_000,
					/* eslint-enable @typescript-eslint/naming-convention */
					usual: {prompt: 100, answer: 50},
					activationBytes: 1000,
					transferMbps: 1000,
					layers: 80,
					layerSizeMb: 1750,
					layerKinds: [{
						name: 'large', sizeMb: 72_000, pace: 1, readFactor: 1,
					}],
				},
			},
			{name: services.records, maxConnections: 100},
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 10_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [{name: 'inspectors', apiKeys: ['key-1'], priority: 1}],
	};
}

/** Runs a router in a child process, with simulators for the platform's store and the backend servers. */
export class RouterProcess {
	/** Starts the simulators and the router, and waits until the router is ready and all layers are placed. */
	static async start(stageCount = defaultStageCount): Promise<RouterProcess> {
		const router = new RouterProcess(stageCount);
		await router.startSimulators();
		await router.startRouter();
		await router.waitUntil(() => router.stages.every(({range}) => range !== null));
		return router;
	}

	/** Starts a further router beside the first one, with the same simulators, and waits until it is ready. */
	static async startBeside(first: RouterProcess, id: string): Promise<RouterProcess> {
		const router = new RouterProcess(0, {first, id});
		await router.writeSettings();
		await router.startRouter();
		return router;
	}

	readonly timers = new ClockTimerService();
	/** Largest number of descriptors that the router may open; undefined for the limit of this process. */
	descriptorLimit?: number;
	/** Whether to run the bundle of the deployment, which needs less memory than the modules. It can't be partitioned. */
	isBundled = false;
	readonly store: StoreSimulator;
	readonly stages: readonly StageSimulator[];
	readonly records: readonly StageSimulator[];
	/** Log lines written by the router. */
	readonly logLines: string[] = [];
	private readonly id: string;
	private readonly ports = {
		callers: 0, readiness: 0, peers: 0, store: 0,
	};

	private settingsFile = '';
	private partitionFile = '';
	private child?: ChildProcess;
	private sentRequests = 0;
	private readonly heartbeats: StageHeartbeats;

	/**
	@param beside - the router whose simulators to use, and the id; undefined for the first router
	*/
	constructor(stageCount = defaultStageCount, private readonly beside?: {readonly first: RouterProcess; readonly id: string}) {
		this.id = beside?.id ?? 'entry-a';
		this.store = beside?.first.store ?? new StoreSimulator(this.timers);
		this.stages = beside?.first.stages ?? [...'abcdefgh'].slice(0, stageCount).map(letter => new StageSimulator(`stage-${letter}`, 1000, this.timers));
		this.records = beside?.first.records ?? ['records-a', 'records-b'].map(id => new StageSimulator(id, 1000, this.timers));
		this.heartbeats = new StageHeartbeats([...this.stages, ...this.records], {
			write: stage => {
				this.listServer(stage, stage.port, 'ready');
			},
			remove: id => {
				this.store.removeRow('servers', id);
			},
		}, this.timers);
	}

	/** Starts the simulators, lists them in the store and writes the settings file. */
	async startSimulators(): Promise<void> {
		this.ports.store = await this.store.listen(await freePort());
		for (const server of [...this.stages, ...this.records]) {
			const port = await server.listen(await freePort()); // eslint-disable-line no-await-in-loop
			this.listServer(server, port, 'ready');
		}

		this.store.putRow('servers', 'alien', 'not an entry');
		this.store.putRow('op', 'config', createSiteConfiguration(3));
		await this.writeSettings();
	}

	/** Writes the settings file, with free ports. */
	async writeSettings(): Promise<void> {
		this.ports.callers = await freePort();
		this.ports.readiness = await freePort();
		this.ports.peers = await freePort();
		const folder = mkdtempSync(path.join(tmpdir(), 'router-'));
		this.settingsFile = path.join(folder, 'entry.ini');
		this.partitionFile = path.join(folder, 'partition.json');
		const first = this.beside?.first ?? this;
		const here = '127.0.0.1';
		writeFileSync(this.settingsFile, [
			'[instance]',
			`id = ${this.id}`,
			'availability_zone = zone-a',
			`callers = ${here}:${this.ports.callers}`,
			`readiness = ${here}:${this.ports.readiness}`,
			`peers = ${here}:${this.ports.peers}`,
			`metrics = ${here}:${await freePort()}`,
			'[seeds]',
			`peers = ${here}:${first.ports.peers}`,
			'[secrets]',
			`operators = ${operatorSecret}`,
			'[store]',
			`address = ${here}:${first.ports.store}`,
			'list_pause = 50 ms',
			'[placement]',
			'settle = 300 ms',
			'period = 100 ms',
			'[stop]',
			'notice = 200 ms',
			'',
		].join('\n'));
	}

	/** Starts the router and waits until it is ready. */
	async startRouter(): Promise<void> {
		const modules = ['--import', new URL('partition-process.js', import.meta.url).pathname, new URL('../../platform/main.js', import.meta.url).pathname];
		const program = this.isBundled ? [new URL('../../../target/start.cjs', import.meta.url).pathname] : modules;
		// eslint-disable-next-line @typescript-eslint/naming-convention
		const environment = {...process.env, SISKINNOTCH_NODE_FILE: this.settingsFile, PARTITION_FILE: this.partitionFile};
		const parameters = [process.execPath, heapLimit, ...program];
		const [command, ...rest] = this.descriptorLimit === undefined ? parameters : ['sh', '-c', `ulimit -n ${this.descriptorLimit}; exec "$@"`, 'sh', ...parameters];
		this.child = spawn(command, rest, {stdio: ['ignore', 'pipe', 'inherit'], env: environment});
		createInterface({input: this.child.stdout!}).on('line', line => {
			this.logLines.push(line);
		});
		await this.waitUntil(async () => (await this.fetchStatus(this.ports.readiness, '/v1/readyz')) === 200);
	}

	/** Largest amount of memory that the router has used, in bytes. */
	get peakMemory(): number {
		return readPeakMemory(this.child!.pid!);
	}

	/** Number of descriptors that the router has open. */
	get descriptors(): number {
		return countDescriptors(this.child!.pid!);
	}

	/** Waits until the router has computed without a pause for some time. */
	async waitUntilBusy(): Promise<void> {
		let observations = 0;
		const deadline = this.timers.now() + conditionTimeoutMs;
		while (observations < busyObservations) {
			const isBusy = readFileSync(`/proc/${this.child!.pid}/stat`, 'utf8').includes(') R ');
			observations = isBusy ? observations + 1 : 0;
			if (this.timers.now() > deadline) {
				throw new Error(`the router was not busy within ${conditionTimeoutMs} ms`);
			}

			await this.timers.sleep(1); // eslint-disable-line no-await-in-loop
		}
	}

	/** Whether the router runs. */
	get isRunning(): boolean {
		return this.child!.exitCode === null && this.child!.signalCode === null;
	}

	/** Address on which the router accepts operators and other instances. */
	get peersAddress(): string {
		return `127.0.0.1:${this.ports.peers}`;
	}

	/** Port on which the router accepts callers. */
	get callersPort(): number {
		return this.ports.callers;
	}

	/** Partitions this router from all backend servers, or ends the partition. */
	partition(kind: PartitionKind): void {
		writePartition(this.partitionFile, {kind, ports: [...this.stages, ...this.records].map(({port}) => port)});
	}

	/** Appends text to the settings file. */
	changeSettings(lines: string): void {
		appendFileSync(this.settingsFile, lines);
	}

	/** Sends a signal to the router. */
	signal(name: NodeJS.Signals): void {
		this.child!.kill(name);
	}

	/** Waits for the router to exit; resolves to its exit code, or -1 if a signal ended it. */
	async waitForExit(): Promise<number> {
		if (this.isRunning) {
			await once(this.child!, 'exit');
		}

		return this.child!.exitCode ?? -1;
	}

	/** Stops the router and the simulators. */
	async stop(): Promise<void> {
		this.heartbeats.stop();
		this.signal('SIGKILL');
		await this.waitForExit();
		if (this.beside) {
			return;
		}

		await Promise.all([this.store.close(), ...[...this.stages, ...this.records].map(async server => server.close())]);
	}

	/** Writes the entry of a server to the server list in the store. */
	listServer(server: StageSimulator, port: number, state: string): void {
		const isStage = this.stages.includes(server);
		this.store.putRow('servers', server.id, {
			service: isStage ? services.model : services.records,
			address: `127.0.0.1:${port}`,
			zone: 'zone-a',
			version: 'v1',
			batchSlots: 134,
			state,
			sequence: 1,
			born: server.startedAt,
			routeType: isStage ? 'large' : undefined,
			layers: server.range,
		});
	}

	/** Returns the port of a listed server. */
	getPort(server: StageSimulator): number {
		const {address} = z.object({address: z.string()}).parse(this.store.readValue('servers', server.id));
		return Number(address.split(':')[1]);
	}

	/** Writes the current layer range of each stage to the server list, as backend servers do with their heartbeats. */
	listStageRanges(): void {
		for (const stage of this.stages) {
			this.listServer(stage, this.getPort(stage), 'ready');
		}
	}

	/** From now on, the entries of the servers in the server list follow their layers and their restarts. */
	startHeartbeats(): void {
		this.heartbeats.start();
	}

	/** Sends a request as a caller. Resolves also if the response ends prematurely; rejects if there is none. */
	async send(target: string, options: CallerOptions = {}): Promise<CallerResponse> {
		const headers: Record<string, string> = {
			host: 'site.example',
			'siskinnotch-attempt-id': `${this.id}-attempt-${++this.sentRequests}`,
			'siskinnotch-deadline-remaining': '5000',
			'siskinnotch-token-usage': '100,50',
			'x-api-key': options.key ?? 'key-1',
			...(options.promptParts !== undefined && {'siskinnotch-prompt-prefix': options.promptParts}),
		};
		return new Promise((resolve, reject) => {
			const request = startRequest({
				host: '127.0.0.1', port: this.ports.callers, path: target, method: options.method ?? 'POST', headers, agent: false,
			}, response => {
				let text = '';
				response.setEncoding('utf8');
				response.on('data', (chunk: string) => {
					text += chunk;
				});
				response.on('error', () => undefined);
				response.on('close', () => {
					resolve({
						status: response.statusCode ?? 0, text, headers: response.headers, isComplete: response.complete,
					});
				});
			});
			request.on('error', reject);
			request.end(options.body ?? 'prompt');
			if (options.idleTimeout !== undefined) {
				request.setTimeout(options.idleTimeout, () => {
					request.destroy();
				});
			}

			options.departure?.addEventListener('abort', () => {
				request.destroy();
			});
			if (options.leaveAfter !== undefined) {
				this.timers.after(options.leaveAfter, () => {
					request.destroy();
				});
			}
		});
	}

	/** Sends a request; resolves to the status of the response. */
	async sendForStatus(target: string, options: CallerOptions = {}): Promise<number> {
		const {status} = await this.send(target, options);
		return status;
	}

	/** Sends a request; resolves to the body of the response. */
	async sendForText(target: string): Promise<string> {
		const {text} = await this.send(target);
		return text;
	}

	/** Polls a condition until it holds. Throws after a time limit. */
	async waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
		const deadline = this.timers.now() + conditionTimeoutMs;
		while (!(await condition())) { // eslint-disable-line no-await-in-loop
			if (this.timers.now() > deadline) {
				throw new Error(`the condition did not hold within ${conditionTimeoutMs} ms; last log lines: ${this.logLines.slice(-5).join('\n')}`);
			}

			await this.timers.sleep(pollIntervalMs); // eslint-disable-line no-await-in-loop
		}
	}

	private async fetchStatus(port: number, target: string): Promise<number> {
		return new Promise(resolve => {
			const request = startRequest({
				host: '127.0.0.1', port, path: target, agent: false,
			}, response => {
				response.resume();
				resolve(response.statusCode ?? 0);
			});
			request.on('error', () => {
				resolve(0);
			});
			request.end();
		});
	}
}
