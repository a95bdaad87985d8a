// Stand-ins for the platform's store, replicas and clients, and the start of routers as processes. All addresses are loopback.
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer, request as startRequest} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const host = '127.0.0.1';
const repository = fileURLToPath(new URL('../../', import.meta.url));
const startedAt = performance.now();

/** Milliseconds since this script started, on the monotonic clock. */
export function now() {
	return Math.round(performance.now() - startedAt);
}

export async function sleep(milliseconds) {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** Polls a condition; returns whether it held within the time limit. */
export async function waitUntil(condition, limit = 15_000) {
	const end = performance.now() + limit;
	while (!(await condition())) { // eslint-disable-line no-await-in-loop
		if (performance.now() > end) {
			return false;
		}

		await sleep(20); // eslint-disable-line no-await-in-loop
	}

	return true;
}

/** The ports for routers lie below those that the system gives to connections; scripts that run at a time use different ones of them. */
const firstPort = 12_000;
const portsPerScript = 100;
const scripts = 160;
let nextPort = firstPort + (process.pid % scripts * portsPerScript);

async function isFree(port) {
	const server = createTcpServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

async function findFreePort() {
	for (;;) {
		const port = nextPort++;
		if (await isFree(port)) { // eslint-disable-line no-await-in-loop
			return port;
		}
	}
}

/** Writes what was sent, run and answered to a file, a line each. */
export class Record {
	constructor(file) {
		this.file = file;
		writeFileSync(file, '');
	}

	write(...words) {
		appendFileSync(this.file, `${String(now()).padStart(6)} ms  ${words.join(' ')}\n`);
	}
}

async function readBody(message) {
	const chunks = [];
	for await (const chunk of message) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/** The platform's store: rows in tables, of which every transaction is kept. */
export class Store {
	rows = new Map();
	transaction = 0;
	era = 0;
	isDown = false;
	snapshots = [];

	async start() {
		this.server = createServer(async (message, response) => this.handle(message, response)).listen(0, host);
		await once(this.server, 'listening');
		this.address = `${host}:${this.server.address().port}`;
	}

	stop() {
		this.server.close();
		this.server.closeAllConnections();
	}

	put(tableName, key, value) {
		this.write(tableName, key, Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'));
	}

	remove(tableName, key) {
		this.transaction++;
		this.rows.set(`${tableName}\n${key}`, {
			tableName, part: '', key, schemaVersion: this.transaction, deleted: true,
		});
	}

	get(tableName, key) {
		const row = this.rows.get(`${tableName}\n${key}`);
		return row?.deleted ? undefined : row;
	}

	/** Keeps a copy of the store as it is now. */
	copy() {
		return {rows: new Map(this.rows), transaction: this.transaction};
	}

	/** Comes back from a copy, as in a drill. */
	restore({rows, transaction}) {
		this.rows = new Map(rows);
		this.transaction = transaction;
		this.era++;
	}

	write(tableName, key, data) {
		this.transaction++;
		this.rows.set(`${tableName}\n${key}`, {
			tableName, part: '', key, data, schemaVersion: this.transaction,
		});
	}

	async handle(message, response) {
		const body = await readBody(message);
		const url = new URL(message.url, 'http://store');
		const [status, answer] = this.isDown ? [503, {}] : await this.answer(`${message.method} ${url.pathname}`, url.searchParams, body);
		response.writeHead(this.isDown ? 503 : status, {'content-type': 'application/json', 'store-era': String(this.era)});
		response.end(JSON.stringify(answer));
	}

	async answer(call, query, body) {
		switch (call) {
			case 'GET /v1/rows-get': {
				return [200, this.read(query)];
			}

			case 'GET /v1/rows-feed': {
				return this.follow(query);
			}

			case 'POST /v1/rows-tx': {
				return this.transact(JSON.parse(body));
			}

			default: {
				return [404, {}];
			}
		}
	}

	get position() {
		return {schemaVersion: this.transaction, currentTimeMs: Math.round(performance.now())};
	}

	findRows(tableName) {
		return [...this.rows.values()].filter(row => row.tableName === tableName);
	}

	read(query) {
		const from = query.get('from') ?? '';
		const to = query.get('to');
		const rows = this.findRows(query.get('tableName')).filter(({key, deleted}) => !deleted && key >= from && (to === null || key < to));
		return {rows: rows.toSorted((left, right) => left.key < right.key ? -1 : 1), hasMore: false, ...this.position};
	}

	async follow(query) {
		const after = Number(query.get('after'));
		const {era} = this;
		for (let left = Number(query.get('waitTimeMs')); ; left -= 10) {
			if (after > this.transaction || era !== this.era) {
				return [410, {}];
			}

			const rows = this.findRows(query.get('tableName')).filter(({schemaVersion}) => schemaVersion > after);
			if (rows.length > 0 || left <= 0 || this.isDown) {
				return [200, {rows: rows.toSorted((left, right) => left.schemaVersion - right.schemaVersion), ...this.position}];
			}

			await sleep(10); // eslint-disable-line no-await-in-loop
		}
	}

	transact({expectedRevision = [], write = [], remove = []}) {
		const conflicts = expectedRevision.filter(({tableName, key, schemaVersion}) => (this.get(tableName, key)?.schemaVersion ?? 0) !== schemaVersion);
		if (conflicts.length > 0) {
			return [412, {rows: conflicts.flatMap(({tableName, key}) => this.get(tableName, key) ?? []), ...this.position}];
		}

		for (const {tableName, key, data} of write) {
			this.write(tableName, key, data);
		}

		for (const {tableName, key} of remove) {
			this.remove(tableName, key);
		}

		return [200, this.position];
	}
}

/** A replica. Its behaviour is the function `run`, which gets the request and the response of the runtime's HTTP server. */
export class Replica {
	constructor(id, {service, zone = 'zone-a', run, accelerator, leavingHeader = false}) {
		Object.assign(this, {
			id, service, zone, run, accelerator, leavingHeader,
		});
		this.born = Date.now();
		this.sequence = 0;
		this.beats = 1;
		this.layers = undefined;
		this.isLeaving = false;
		this.arrivals = [];
		this.sockets = new Set();
	}

	async start(port = 0) {
		this.server = createServer({keepAlive: true}, async (message, response) => this.handle(message, response)).listen(port, host);
		this.server.on('connection', socket => {
			this.sockets.add(socket);
			socket.on('close', () => {
				this.sockets.delete(socket);
			});
		});
		await once(this.server, 'listening');
		this.address = `${host}:${this.server.address().port}`;
	}

	/** Ends as a process does that was killed: all connections are reset and no new ones are accepted. */
	crash() {
		this.server.close();
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}
	}

	stop() {
		this.server.close();
		this.server.closeAllConnections();
	}

	/** Writes its entry to the list, as its heartbeat does. */
	list(store, state = 'ready') {
		store.put('servers', this.id, {
			service: this.service,
			address: this.address,
			zone: this.zone,
			version: 'v1',
			batchSlots: 134,
			state,
			coldRemainingMs: 0,
			sequence: this.beats++,
			born: this.born,
			...(this.accelerator && {routeType: this.accelerator, phase: 'colocated', layers: this.layers}),
		});
	}

	startHeartbeats(store) {
		this.list(store);
		this.heartbeat = setInterval(() => {
			if (!store.isDown) {
				this.list(store);
			}
		}, 1200);
	}

	stopHeartbeats() {
		clearInterval(this.heartbeat);
	}

	/** Headers that every answer to a request bears. */
	headers(message, extra = {}) {
		return {
			'siskinnotch-attempt-id': message.headers['siskinnotch-attempt-id'] ?? '',
			'siskinnotch-replica-signature': `${this.id}.signed`,
			...(this.isLeaving && this.leavingHeader && {'server-leaving': '1'}),
			...extra,
		};
	}

	/** The head of a sound answer as bytes on the wire, for answers that the runtime's HTTP server would not send. */
	createHead(message, fields) {
		const all = {
			'Content-Type': 'application/json',
			'Siskinnotch-Attempt-Id': message.headers['siskinnotch-attempt-id'],
			'Siskinnotch-Replica-Signature': `${this.id}.signed`,
			...fields,
		};
		return `HTTP/1.1 200 OK\r\n${Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`;
	}

	async handle(message, response) {
		message.on('error', () => undefined);
		response.on('error', () => undefined);
		const chunks = [];
		try {
			for await (const chunk of message) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		const body = Buffer.concat(chunks);
		if (message.url === '/healthz') {
			response.writeHead(this.isLeaving ? 503 : 200, {'siskinnotch-replica-id': this.id});
			response.end();
			return;
		}

		if (message.url === '/v1/report') {
			response.writeHead(200, {'content-type': 'application/json'});
			response.end(JSON.stringify({
				phase: 'colocated', busy: false, sequence: this.sequence, queuedRequests: 0, activeRequests: 0, born: this.born, layers: this.layers, pace: 1, blocked: [],
			}));
			return;
		}

		if (message.url === '/v1/order') {
			const {from, to, expectedRevision} = JSON.parse(body);
			if (expectedRevision !== undefined && expectedRevision !== this.sequence) {
				response.writeHead(409).end();
				return;
			}

			this.sequence++;
			this.layers = {from, to};
			response.writeHead(202).end();
			return;
		}

		const expected = message.headers['siskinnotch-expected-replica'];
		if (expected !== undefined && expected !== this.id) {
			response.writeHead(421, {'siskinnotch-replica-id': this.id, 'siskinnotch-attempt-id': message.headers['siskinnotch-attempt-id'] ?? ''}).end();
			return;
		}

		const arrival = {id: message.headers['siskinnotch-attempt-id'], at: now()};
		this.arrivals.push(arrival);
		this.run(message, response, body, this);
	}
}

/** The operator's configuration of a small deployment. */
export function createConfiguration({version = 1, plainTimeout = 800, streamTimeout = 20_000, layers = 80} = {}) {
	const route = {
		hostname: 'site.example', priority: 1, anonymous: false, sessionAffinity: false,
	};
	return {
		version,
		routes: [
			{
				...route,
				name: 'r-drafts',
				pathPrefix: '/drafts/',
				routeType: 'streaming',
				timeoutMs: streamTimeout,
				targetLatencyMs: 500,
				itlTargetMs: 200,
				service: 'svc-model',
				maxAttempts: 2,
				streamResume: true,
			},
			{
				...route, name: 'r-certs', pathPrefix: '/certs/', routeType: 'non_idempotent', timeoutMs: plainTimeout, targetLatencyMs: 300, service: 'svc-records', maxAttempts: 1,
			},
			{
				...route, name: 'r-lookups', pathPrefix: '/lookups/', routeType: 'idempotent', timeoutMs: plainTimeout, targetLatencyMs: 300, service: 'svc-records', maxAttempts: 2,
			},
		],
		services: [
			{
				name: 'svc-model',
				healthPath: '/healthz',
				maxConnections: 1128,
				inferenceEngine: {
					/* eslint-disable camelcase */
					batchSlots: 134,
					kvTokenBytes: 1_315_343,
					bandwidthMbps: 400_000,
					stepsPerPass: 3,
					loadedModels: [{name: 'm0', loadTimeS: 1}],
					step_ms: 1.02,
					per_seq_ms: 0.01,
					context_per_k: 0.0137,
					read_per_s: 105_000,
					report_lag_ms: 200,
					/* eslint-enable camelcase */
					usual: {prompt: 774, answer: 203},
					layers,
					layerSizeMb: 1750,
					activationBytes: 65_767,
					transferMbps: 18_000,
					layerKinds: [{
						name: 'large', sizeMb: 400_000, pace: 2.4, readFactor: 3.2,
					}],
				},
			},
			{name: 'svc-records', healthPath: '/healthz', maxConnections: 100},
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [{name: 'team-a', apiKeys: ['key-a'], priority: 1}],
	};
}

/** Fills in the template of the settings, as the platform does. */
function renderSettings(fields) {
	const template = readFileSync(path.join(repository, 'deploy', 'entry.ini'), 'utf8');
	return template.replaceAll(/\{\{(?<name>[^\}]+)\}\}/gv, (_match, name) => {
		let value = fields;
		for (const part of name.split('.')) {
			value = value?.[part];
		}

		return Array.isArray(value) ? value.join(',') : String(value ?? '');
	});
}

/** A router process, started with the command of the deploy file. */
export class Router {
	constructor(name, {store, zone = 'zone-a', folder}) {
		Object.assign(this, {
			name, store, zone, folder,
		});
		this.logLines = [];
	}

	async prepare(seeds) {
		this.ports = {callers: await findFreePort(), readiness: await findFreePort(), peers: await findFreePort()};
		this.peers = `${host}:${this.ports.peers}`;
		this.seeds = seeds ?? [this.peers];
	}

	writeSettings() {
		this.settingsFile = path.join(this.folder, `${this.name}.ini`);
		const text = renderSettings({
			nodeName: this.name,
			zone: this.zone,
			isBootstrap: false,
			ipAddress: host,
			listenAddresses: {frontendAddress: `${host}:${this.ports.callers}`, readinessAddress: `${host}:${this.ports.readiness}`, controlPlane: this.peers},
			seedNodes: this.seeds,
			limits: {bandwidthMbps: 1000},
			platform: {address: this.store.address},
			/* eslint-disable camelcase */
			contractParams: {
				retryBudgetRatio: 0.2, retryAllowance: 198, retryWindowS: 10, stall_ms: 2000, gracePeriodS: 8,
			},
			/* eslint-enable camelcase */
		}).replace(`${host}:9464`, `${host}:${this.ports.metrics}`);
		writeFileSync(this.settingsFile, text);
	}

	async start() {
		if (!this.ports) {
			await this.prepare();
		}

		this.ports.metrics ??= await findFreePort();
		this.writeSettings();
		this.exit = undefined;
		this.child = spawn('node', ['--max-old-space-size=200', 'target/start.cjs'], {
			cwd: repository, stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH, HOME: process.env.HOME, SISKINNOTCH_NODE_FILE: this.settingsFile},
		});
		const collect = text => {
			this.logLines.push(...String(text).split('\n').filter(line => line !== ''));
		};

		this.child.stdout.on('data', collect);
		this.child.stderr.on('data', collect);
		this.child.once('exit', (code, signal) => {
			this.exit = {code, signal, at: now()};
		});
	}

	async isReady() {
		return new Promise(resolve => {
			const request = startRequest({
				host, port: this.ports.readiness, path: '/v1/readyz', agent: false,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			request.on('error', () => {
				resolve(false);
			});
			request.end();
		});
	}

	signal(name) {
		this.child.kill(name);
	}

	async stop() {
		if (this.child && !this.exit) {
			this.child.kill('SIGKILL');
			await waitUntil(() => this.exit !== undefined);
		}
	}
}

/** Sends a request as a client; resolves to what the client sees. */
export async function send(router, {id, method = 'POST', target, body = 'body', deadline = 1500, headers = {}, agent = false, onData, onRequest}) {
	return new Promise(resolve => {
		const answer = {
			id, sentAt: now(), status: 0, bytes: 0, isComplete: false, text: '',
		};
		const finish = ending => {
			resolve(Object.assign(answer, {ending, endedAt: now()}));
		};

		const request = startRequest({
			host,
			port: router.ports.callers,
			path: target,
			method,
			agent,
			headers: {
				host: 'site.example',
				'siskinnotch-attempt-id': id,
				'siskinnotch-deadline-remaining': String(deadline),
				'x-api-key': 'key-a',
				...(method !== 'GET' && {'content-length': Buffer.byteLength(body)}),
				...headers,
			},
		}, response => {
			answer.status = response.statusCode;
			answer.headers = response.headers;
			response.on('data', chunk => {
				answer.bytes += chunk.length;
				if (answer.bytes < 100_000) {
					answer.text += chunk;
				}

				onData?.(chunk, response);
			});
			response.on('error', () => undefined);
			response.on('close', () => {
				answer.isComplete = response.complete;
				finish(response.complete ? 'complete' : 'broken off');
			});
		});
		onRequest?.(request);
		request.on('error', error => {
			if (answer.status === 0) {
				finish(`no answer: ${error.code ?? error.message}`);
			}
		});
		if (method === 'GET') {
			request.end();
		} else {
			request.end(body);
		}
	});
}

/** Starts a store and routers, runs the case, and ends everything. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
export async function runCase(folder, play) {
	const record = new Record(path.join(folder, 'record.txt'));
	const isTrouble = process.env.TROUBLE !== '0';
	const settingsFolder = mkdtempSync(path.join(tmpdir(), 'review-'));
	const store = new Store();
	await store.start();
	const parts = {routers: [], replicas: []};
	process.on('exit', () => {
		for (const {child, exit} of parts.routers) {
			if (child && !exit) {
				child.kill('SIGKILL');
			}
		}
	});
	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.on(signal, () => {
			process.exit(2);
		});
	}

	const limit = setTimeout(() => {
		record.write('the case took too long');
		process.exit(2); // eslint-disable-line unicorn/no-process-exit
	}, 110_000);
	record.write(isTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
	let code = 2;
	try {
		code = await play({
			record, store, isTrouble, parts, folder: settingsFolder,
		});
	} catch (error) {
		record.write('the case could not run:', error.stack ?? String(error));
	}

	record.write(['the rule held', 'THE RULE WAS BROKEN', 'the case could not run'][code]);
	for (const router of parts.routers) {
		await router.stop(); // eslint-disable-line no-await-in-loop
	}

	for (const replica of parts.replicas) {
		replica.stopHeartbeats();
		replica.stop();
	}

	store.stop();
	clearTimeout(limit);
	rmSync(settingsFolder, {recursive: true, force: true});
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
}

/** Starts replicas and one or more routers, and waits until all are ready. */
export async function startSystem({store, parts, folder}, {replicas, routers = 1, configuration = createConfiguration(), zones = ['zone-a']}) {
	store.put('op', 'config', configuration);
	for (const replica of replicas) {
		parts.replicas.push(replica);
		await replica.start(); // eslint-disable-line no-await-in-loop
		replica.startHeartbeats(store);
	}

	for (let index = 0; index < routers; index++) {
		parts.routers.push(new Router(`edge-${index + 1}`, {store, folder, zone: zones[index % zones.length]}));
	}

	for (const router of parts.routers) {
		await router.prepare(); // eslint-disable-line no-await-in-loop
	}

	const seeds = parts.routers.slice(0, 3).map(({peers}) => peers);
	for (const router of parts.routers) {
		router.seeds = seeds;
		await router.start(); // eslint-disable-line no-await-in-loop
	}

	for (const router of parts.routers) {
		if (!(await waitUntil(async () => router.isReady()))) { // eslint-disable-line no-await-in-loop
			throw new Error(`${router.name} is not ready: ${router.logLines.slice(-5).join('\n')}`);
		}
	}

	// The instances need a moment to learn of each other.
	await sleep(2500);
}
