import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request as startRequest} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {waitUntil} from './clock.js';
import {findPort, isFree} from './ports.js';

const root = fileURLToPath(new URL('../..', import.meta.url));
const metricsPort = 9464;
const maxMachines = 16;
const maxLastLines = 20;

/** Finds loopback addresses, one for each machine, whose port of the metrics is free. */
async function findHosts(count) {
	const hosts = [];
	// Two cases that run at the same time use different addresses.
	for (let number = process.pid * maxMachines; hosts.length < count; number++) {
		const host = `127.${1 + (Math.floor(number / 40_000) % 250)}.${1 + (Math.floor(number / 200) % 200)}.${1 + (number % 200)}`;
		if (await isFree(host, metricsPort)) { // eslint-disable-line no-await-in-loop
			hosts.push(host);
		}
	}

	return hosts;
}

/** Renders a template with the values of fields; lists are joined by commas. */
function render(template, fields) {
	return template.replaceAll(/\{\{([\w.]+)\}\}/gv, (_match, name) => {
		let value = fields;
		for (const part of name.split('.')) {
			value = value?.[part];
		}

		return Array.isArray(value) ? value.join(',') : String(value ?? '');
	});
}

/** Reads what the deploy file says of the role. */
function readRole() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const find = name => new RegExp(`^${name} = "(.*)"$`, 'mv').exec(text)[1];
	return {command: find('run').split(' '), template: readFileSync(path.join(root, find('template')), 'utf8')};
}

/** Processes that were started and have not ended. */
const running = new Set();

/** Ends all processes that were started. */
export function endAll() {
	for (const child of running) {
		child.kill('SIGKILL');
	}
}

/** One machine of the deployment with its process, started with the command and the template of the deploy file. */
export class Router {
	child = undefined;
	/** What the process last wrote. */
	lastLines = [];

	constructor({
		name, host, fields, folder, descriptors,
	}) {
		this.name = name;
		this.descriptors = descriptors;
		this.host = host;
		this.fields = fields;
		this.settingsFile = path.join(folder, `${name}.ini`);
		this.log = createWriteStream(path.join(folder, `${name}.log`), {flags: 'a'});
		[this.callersHost, this.callersPort] = fields.listenAddresses.frontendAddress.split(':');
	}

	/** Starts the process. */
	start() {
		const {command, template} = readRole();
		writeFileSync(this.settingsFile, render(template, this.fields));
		const [program, ...rest] = command;
		const words = [program === 'node' ? process.execPath : program, ...rest];
		// The descriptors that a process of the machine may open.
		const [file, ...parameters] = this.descriptors === undefined ? words : ['sh', '-c', `ulimit -n ${this.descriptors} && exec "$@"`, 'sh', ...words];
		this.child = spawn(file, parameters, {
			cwd: root,
			stdio: ['ignore', 'pipe', 'pipe'],
			env: {PATH: process.env.PATH, HOME: process.env.HOME, SISKINNOTCH_NODE_FILE: this.settingsFile},
		});
		const {child} = this;
		running.add(child);
		child.once('exit', () => {
			running.delete(child);
		});
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', chunk => {
				this.lastLines = [...this.lastLines, ...String(chunk).split('\n')].slice(-maxLastLines);
			});
		}

		this.child.stdout.pipe(this.log, {end: false});
		this.child.stderr.pipe(this.log, {end: false});
	}

	get isRunning() {
		return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
	}

	signal(name) {
		if (this.isRunning) {
			this.child.kill(name);
		}
	}

	/** Waits until the process has ended. */
	async waitForExit() {
		if (this.isRunning) {
			await once(this.child, 'exit');
		}
	}

	/** Waits until the machine says that it is ready. */
	async waitUntilReady() {
		try {
			await waitUntil(async () => {
				const status = await this.fetchReadiness();
				return status === 200;
			}, `${this.name} is ready`);
		} catch (error) {
			const state = this.isRunning ? 'runs' : `has ended with ${this.child.exitCode ?? this.child.signalCode}`;
			const text = `${error.message}; its process ${state}; its last lines:`;
			throw new Error([text, ...this.lastLines].join('\n'), {cause: error});
		}
	}

	async fetchReadiness() {
		const [host, port] = this.fields.listenAddresses.readinessAddress.split(':');
		return new Promise(resolve => {
			const request = startRequest({
				host, port, path: '/v1/readyz', agent: false,
			}, response => {
				response.resume();
				resolve(response.statusCode);
			});
			request.on('error', () => {
				resolve(0);
			});
			request.end();
		});
	}
}

/** The machines of a small deployment. */
export class Fleet {
	routers = [];

	/**
	@param zones - availability zone of each machine
	@param store - the store
	@param bounds - figures of the contract that differ from those of the sheet
	@param descriptors - descriptors that a process may open; undefined for the limit of this process
	*/
	static async create(zones, store, {bounds = {}, linkMbps = 1000, descriptors} = {}) {
		const fleet = new Fleet();
		fleet.folder = mkdtempSync(path.join(tmpdir(), 'review-2-'));
		const machines = [];
		const hosts = await findHosts(zones.length);
		for (const [index, host] of hosts.entries()) {
			const addresses = {};
			for (const name of ['frontendAddress', 'readinessAddress', 'controlPlane']) {
				addresses[name] = `${host}:${await findPort(host)}`; // eslint-disable-line no-await-in-loop
			}

			machines.push({host, addresses, name: `edge-${zones[index]}-${index + 1}`});
		}

		const seedNodes = machines.slice(0, 3).map(({addresses}) => addresses.controlPlane);
		for (const [index, {host, addresses, name}] of machines.entries()) {
			fleet.routers.push(new Router({
				name,
				host,
				folder: fleet.folder,
				descriptors,
				fields: {
					nodeName: name,
					zone: zones[index],
					isBootstrap: 'true',
					ipAddress: host,
					listenAddresses: addresses,
					seedNodes,
					limits: {bandwidthMbps: linkMbps},
					platform: {address: store.address},
					contractParams: {
						retryBudgetRatio: 0.2, retryAllowance: 198, retryWindowS: 10, stall_ms: 2000, gracePeriodS: 8, ...bounds, // eslint-disable-line camelcase
					},
				},
			}));
		}

		return fleet;
	}

	async start() {
		for (const router of this.routers) {
			router.start();
		}

		await Promise.all(this.routers.map(async router => router.waitUntilReady()));
		for (const router of this.routers) {
			router.fields.isBootstrap = 'false';
		}
	}

	/** Ends all processes and removes their files. */
	async stop() {
		for (const router of this.routers) {
			router.signal('SIGKILL');
		}

		await Promise.all(this.routers.map(async router => router.waitForExit()));
		if (process.env.KEEP_LOGS === undefined) {
			rmSync(this.folder, {recursive: true, force: true});
		} else {
			console.log(`logs: ${this.folder}`);
		}
	}
}
