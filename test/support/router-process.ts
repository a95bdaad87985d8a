import {appendFileSync, mkdtempSync, writeFileSync} from 'node:fs';
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
import {StageStandIn} from '../../stand-ins/stage-stand-in.js';
import {StoreStandIn} from '../../stand-ins/store-stand-in.js';

/** An answer to a caller. */
export type SiteAnswer = {
	readonly status: number;
	readonly text: string;
	readonly headers: IncomingMessage['headers'];
	/** Whether it ended as a whole answer does. */
	readonly isWhole: boolean;
};

const readyLimitMs = 15_000;
const pollMs = 25;
const services = {model: 'svc-model', records: 'svc-records'};

/** Configuration of the operator as the users' platform writes it. */
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

/** A router as a process of its own, between callers and stand-ins of the users' store and replicas. */
export class RouterSite {
	/** Starts stand-ins and router, and waits until it is ready and all layers are placed. */
	static async start(): Promise<RouterSite> {
		const site = new RouterSite();
		await site.startStandIns();
		await site.startRouter();
		await site.until(() => site.stages.every(({range}) => range !== null));
		return site;
	}

	readonly timers = new ClockTimerService();
	readonly store = new StoreStandIn(this.timers);
	readonly stages = ['stage-a', 'stage-b', 'stage-c', 'stage-d'].map(id => new StageStandIn(id, 1000, this.timers));
	readonly records = ['records-a', 'records-b'].map(id => new StageStandIn(id, 1000, this.timers));
	/** Lines that the router wrote. */
	readonly lines: string[] = [];
	private readonly ports = {callers: 0, readiness: 0};
	private file = '';
	private router?: ChildProcess;
	private requests = 0;

	/** Starts the stand-ins and writes the settings. */
	async startStandIns(): Promise<void> {
		const storePort = await this.store.listen(await freePort());
		for (const server of [...this.stages, ...this.records]) {
			const port = await server.listen(await freePort()); // eslint-disable-line no-await-in-loop
			this.list(server, port, 'ready');
		}

		this.store.put('servers', 'alien', 'not an entry');
		this.store.put('op', 'config', createSiteConfiguration(3));
		this.ports.callers = await freePort();
		this.ports.readiness = await freePort();
		this.file = path.join(mkdtempSync(path.join(tmpdir(), 'router-')), 'entry.ini');
		const here = '127.0.0.1';
		writeFileSync(this.file, [
			'[instance]',
			'id = entry-a',
			'availability_zone = zone-a',
			`callers = ${here}:${this.ports.callers}`,
			`readiness = ${here}:${this.ports.readiness}`,
			`peers = ${here}:${await freePort()}`,
			`metrics = ${here}:${await freePort()}`,
			'[store]',
			`address = ${here}:${storePort}`,
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
		const program = new URL('../../platform/main.js', import.meta.url).pathname;
		this.router = spawn(process.execPath, [program], {stdio: ['ignore', 'pipe', 'inherit'], env: {...process.env, SISKINNOTCH_NODE_FILE: this.file}}); // eslint-disable-line @typescript-eslint/naming-convention
		createInterface({input: this.router.stdout!}).on('line', line => {
			this.lines.push(line);
		});
		await this.until(async () => (await this.ask(this.ports.readiness, '/v1/readyz')) === 200);
	}

	/** Adds lines to the settings file. */
	changeSettings(lines: string): void {
		appendFileSync(this.file, lines);
	}

	/** Sends a signal to the router. */
	signal(name: NodeJS.Signals): void {
		this.router!.kill(name);
	}

	/** Resolves to the exit code of the router; -1 after a signal. */
	async exited(): Promise<number> {
		if (this.router!.exitCode === null && this.router!.signalCode === null) {
			await once(this.router!, 'exit');
		}

		return this.router!.exitCode ?? -1;
	}

	/** Ends everything. */
	async stop(): Promise<void> {
		this.signal('SIGKILL');
		await this.exited();
		await Promise.all([this.store.close(), ...[...this.stages, ...this.records].map(async server => server.close())]);
	}

	/** Shows a server in the list of the store. */
	list(server: StageStandIn, port: number, state: string): void {
		const isStage = this.stages.includes(server);
		this.store.put('servers', server.id, {
			service: isStage ? services.model : services.records,
			address: `127.0.0.1:${port}`,
			zone: 'zone-a',
			version: 'v1',
			batchSlots: 134,
			state,
			sequence: 1,
			born: server.born,
			routeType: isStage ? 'large' : undefined,
			layers: server.range,
		});
	}

	/** The port of a listed server. */
	portOf(server: StageStandIn): number {
		const {address} = z.object({address: z.string()}).parse(this.store.value('servers', server.id));
		return Number(address.split(':')[1]);
	}

	/** Shows what each stage holds, as the replicas do by their beats. */
	listRanges(): void {
		for (const stage of this.stages) {
			this.list(stage, this.portOf(stage), 'ready');
		}
	}

	/** Sends a request; the answer resolves also where it breaks off. */
	async send(target: string, options: {method?: string; body?: string; key?: string; leaveAfter?: number} = {}): Promise<SiteAnswer> {
		const headers: Record<string, string> = {
			host: 'site.example',
			'siskinnotch-attempt-id': `attempt-${++this.requests}`,
			'siskinnotch-deadline-remaining': '5000',
			'siskinnotch-token-usage': '100,50',
			'x-api-key': options.key ?? 'key-1',
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
						status: response.statusCode ?? 0, text, headers: response.headers, isWhole: response.complete,
					});
				});
			});
			request.on('error', reject);
			request.end(options.body ?? 'prompt');
			if (options.leaveAfter !== undefined) {
				this.timers.after(options.leaveAfter, () => {
					request.destroy();
				});
			}
		});
	}

	/** Sends a request; the status of its answer. */
	async statusOf(target: string, options: Parameters<RouterSite['send']>[1] = {}): Promise<number> {
		const {status} = await this.send(target, options);
		return status;
	}

	/** Sends a request; the body of its answer. */
	async textOf(target: string): Promise<string> {
		const {text} = await this.send(target);
		return text;
	}

	/** Resolves once a condition holds. */
	async until(test: () => boolean | Promise<boolean>): Promise<void> {
		const limit = this.timers.now() + readyLimitMs;
		while (!(await test())) { // eslint-disable-line no-await-in-loop
			if (this.timers.now() > limit) {
				throw new Error(`not reached within ${readyLimitMs} ms; last lines: ${this.lines.slice(-5).join('\n')}`);
			}

			await this.timers.sleep(pollMs); // eslint-disable-line no-await-in-loop
		}
	}

	private async ask(port: number, target: string): Promise<number> {
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
