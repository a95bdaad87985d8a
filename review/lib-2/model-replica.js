import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {now, sleep} from './clock.js';
import {findPort} from './ports.js';

const reportLagMs = 200;

async function readBody(message) {
	const chunks = [];
	for await (const chunk of message) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
}

/** Parses a header such as `10.1.64.9:8080=0-20,10.2.64.3:8080=20-80`. */
function parsePath(header) {
	return header.split(',').map(part => {
		const [address, range] = part.trim().split('=');
		const [from, to] = range.split('-').map(Number);
		return {address, from, to};
	});
}

/** Returns the ids of the parts of a prompt that it shares with others. */
function parseSharedParts(header = '') {
	return header.split(',').slice(0, -1).map(part => part.split(':')[0].trim());
}

/** The replicas of a model service, of which each holds a range of the layers. */
export class ModelService {
	replicas = [];
	/** Each request that arrived at its first replica. */
	arrivals = [];
	/** Called when the last replica of a path is about to write the first token of an answer; returns whether that crashes it. */
	crashes = () => false;
	/** Called after a crash. */
	onCrash = () => undefined;

	/**
	@param store - the store in which the replicas have their entries
	*/
	constructor({
		name, layers = 80, loadTimeMs = 1000, stallMs = 2000, prefillMs = 40, gapMs = 40, events = 20, downMs = 2500, heartbeatMs, store,
	}) {
		Object.assign(this, {
			name, layers, loadTimeMs, stallMs, prefillMs, gapMs, events, downMs, heartbeatMs, store,
		});
	}

	findByAddress(address) {
		return this.replicas.find(replica => replica.address === address);
	}

	async add(zone, kind) {
		const replica = new ModelReplica(this, `m-${String.fromCodePoint(97 + this.replicas.length)}1`, zone, kind);
		this.replicas.push(replica);
		await replica.listen();
		replica.register();
	}

	async close() {
		await Promise.all(this.replicas.map(async replica => replica.close()));
	}
}

/** One replica of a model service, as the first one of a path and as a later one. */
class ModelReplica {
	incarnation = 0;
	range = null;
	orders = 0;
	isBusy = false;
	isAlive = false;
	/** Requests that wait for another replica, by id. */
	blocked = new Map();
	sockets = new Set();

	constructor(service, name, zone, kind) {
		Object.assign(this, {
			service, name, zone, kind,
		});
	}

	get id() {
		return this.incarnation === 0 ? this.name : `${this.name}-${this.incarnation}`;
	}

	get address() {
		return `127.0.0.1:${this.port}`;
	}

	async listen() {
		this.port ??= await findPort('127.0.0.1');
		this.server = createServer((message, response) => {
			this.handle(message, response);
		});
		this.server.on('connection', socket => {
			socket.setNoDelay(true);
			this.sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('close', () => {
				this.sockets.delete(socket);
			});
		});
		await new Promise((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(this.port, '127.0.0.1', resolve);
		});
		this.born = Date.now();
		this.isAlive = true;
	}

	/** Writes the entry of the replica to the store. */
	register() {
		const {service, zone, kind, born, range, orders} = this;
		service.store.put('servers', this.id, {
			service: service.name, address: this.address, zone, version: 'v1', batchSlots: 134, state: 'ready', coldRemainingMs: 0, phase: 'colocated',
			loadedModels: [{name: 'daka510000', version: 1, loraAdapters: []}], sequence: orders, born, routeType: kind,
			...(range && {layers: {...range, version: 1}}),
		});
	}

	/** Ends the process of the replica, and starts it again after some seconds, without layers. */
	async crash() {
		const {service, id, sockets} = this;
		this.isAlive = false;
		const closed = new Promise(resolve => {
			this.server.close(resolve);
		});
		for (const socket of sockets) {
			socket.resetAndDestroy();
		}

		await closed;
		service.onCrash(this, id);
		this.incarnation++;
		this.range = null;
		this.orders = 0;
		this.isBusy = false;
		this.blocked.clear();
		setTimeout(() => {
			service.store.remove('servers', id);
		}, 3 * service.heartbeatMs);
		await sleep(service.downMs);
		if (!this.isClosed) {
			await this.listen();
			this.register();
		}
	}

	async close() {
		this.isClosed = true;
		this.isAlive = false;
		this.server.closeAllConnections();
		this.server.close();
	}

	async handle(message, response) {
		let body = '';
		try {
			body = await readBody(message);
		} catch {
			return;
		}

		const {incarnation} = this;
		if (message.url === '/v1/report') {
			await sleep(5);
			response.end(JSON.stringify({
				phase: 'colocated', loadedModels: [], busy: this.isBusy, sequence: this.orders, born: this.born, pace: 1, queuedRequests: 0, activeRequests: 0,
				layers: this.range && {...this.range, version: 1},
				blocked: [...this.blocked].filter(([, {since}]) => now() - since >= reportLagMs).map(([id, {address}]) => ({id, address})),
			}));
		} else if (message.url === '/v1/order') {
			await this.order(JSON.parse(body), response);
		} else if (message.headers['siskinnotch-attempt-id'] === undefined) {
			response.writeHead(200, {'Siskinnotch-Replica-Id': this.id});
			response.end();
		} else {
			await this.serve(message, response, incarnation);
		}
	}

	async order({from, to, expectedRevision}, response) {
		const {incarnation, service} = this;
		if (this.isBusy || (expectedRevision !== undefined && expectedRevision !== this.orders)) {
			response.writeHead(409).end();
			return;
		}

		this.orders++;
		this.isBusy = true;
		response.writeHead(202).end();
		await sleep(service.loadTimeMs * (to - from) / service.layers);
		if (incarnation === this.incarnation && this.isAlive) {
			this.isBusy = false;
			this.range = {from, to};
			this.register();
		}
	}

	reject(response, status, address) {
		response.writeHead(status, {'Siskinnotch-Not-Executed': '1', 'Content-Length': 0, ...(address !== undefined && {'At-Server': address})});
		response.end();
	}

	/** Finds the part of a path that can't run; undefined if all can. */
	findFault(path) {
		for (const {address, from, to} of path) {
			const replica = this.service.findByAddress(address);
			if (!replica?.isAlive) {
				return {status: 503, address};
			}

			if (!replica.range || replica.range.from > from || replica.range.to < to) {
				return {status: 421, address};
			}
		}

		return undefined;
	}

	/** Serves a request as the first replica of its path. */
	async serve({headers, url}, response, incarnation) {
		const {service} = this;
		const id = headers['siskinnotch-attempt-id'];
		const arrival = {
			id, at: now(), url, replica: this.id, path: headers['siskinnotch-hop-count'], parts: parseSharedParts(headers['siskinnotch-prompt-prefix']), outcome: 'arrived',
		};
		response.setHeader('Siskinnotch-Attempt-Id', id);
		if (headers['siskinnotch-expected-replica'] !== this.id) {
			arrival.outcome = 'misdirected';
			service.arrivals.push(arrival);
			this.reject(response, 421, this.address);
			return;
		}

		service.arrivals.push(arrival);
		const path = parsePath(arrival.path);
		const incarnations = path.map(({address}) => service.findByAddress(address)?.incarnation);
		const fault = this.findFault(path);
		if (fault) {
			arrival.outcome = `rejected with ${fault.status} at ${fault.address}`;
			this.reject(response, fault.status, fault.address);
			return;
		}

		const findDead = () => path.find(({address}, index) => {
			const replica = service.findByAddress(address);
			return !replica.isAlive || replica.incarnation !== incarnations[index];
		});
		await sleep(service.prefillMs);
		const last = service.findByAddress(path.at(-1).address);
		if (!findDead() && !response.destroyed && service.crashes(arrival)) {
			last.crash();
		}

		for (let event = Number(headers['last-event-id'] ?? 0) + 1; event <= service.events; event++) {
			const dead = findDead();
			if (response.destroyed || incarnation !== this.incarnation || !this.isAlive) {
				return;
			}

			if (dead) {
				await this.stall(arrival, response, dead.address); // eslint-disable-line no-await-in-loop
				return;
			}

			if (!response.headersSent) {
				arrival.outcome = 'run';
				response.writeHead(200, {'Content-Type': 'text/event-stream', 'Siskinnotch-Replica-Signature': `${this.id}.${id}`, 'Siskinnotch-Weight-Versions': '1'});
			}

			response.write(`id: ${event}\ndata: token ${event}\n\n`);
			await sleep(service.gapMs); // eslint-disable-line no-await-in-loop
		}

		arrival.outcome = 'answered';
		response.end();
	}

	/** Waits for a replica that is dead, and gives the request up after the stall time. */
	async stall(arrival, response, address) {
		this.blocked.set(arrival.id, {address, since: now()});
		const endsAt = now() + this.service.stallMs;
		while (now() < endsAt && !response.destroyed) {
			await sleep(20); // eslint-disable-line no-await-in-loop
		}

		this.blocked.delete(arrival.id);
		if (response.headersSent) {
			arrival.outcome = 'cut off';
			response.destroy();
		} else {
			arrival.outcome = `stalled at ${address}`;
			this.reject(response, 503, address);
		}
	}
}
