import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {now, sleep} from './clock.js';
import {findPort} from './ports.js';

async function readBody(message) {
	const chunks = [];
	for await (const chunk of message) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
}

/** A replica of a plain service: it runs as many requests at a time as it has slots, queues a few more and rejects the others, saying that it has not run them. */
export class PlainReplica {
	/** Each request that arrived. */
	arrivals = [];
	running = 0;
	queue = [];
	/** Returns the headers that are added to an answer, and the status of a rejection if the request is to be rejected. */
	decide = () => ({});
	/** Called when a request begins to run. */
	onRun = () => undefined;
	/** Called when a request is turned away. */
	onReject = () => undefined;
	sockets = new Set();
	incarnation = 0;

	constructor({
		name, service, zone, slots = 6, queuePlaces = 24, workMs = 60, stableId = false,
	}) {
		Object.assign(this, {
			name, service, zone, slots, queuePlaces, workMs, stableId,
		});
		this.born = Date.now();
		this.createServer();
	}

	get id() {
		return this.incarnation === 0 || this.stableId ? this.name : `${this.name}-${this.incarnation}`;
	}

	get address() {
		return `${this.host}:${this.port}`;
	}

	/** The entry that the replica writes to the store. */
	createEntry(state = 'ready') {
		return {
			service: this.service, address: this.address, zone: this.zone, version: 'v1', batchSlots: this.slots, state,
			coldRemainingMs: 0, phase: 'colocated', loadedModels: [], sequence: 1, born: this.born,
		};
	}

	createServer() {
		this.server = createServer((message, response) => {
			this.handle(message, response);
		});
		this.server.keepAliveTimeout = 20_000;
		this.server.on('connection', socket => {
			socket.setNoDelay(true);
			this.sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('close', () => {
				this.sockets.delete(socket);
			});
		});
	}

	async listen(host = '127.0.0.1', wanted = undefined) {
		const port = wanted ?? await findPort(host);
		await new Promise((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(port, host, resolve);
		});
		this.host = host;
		this.port = port;
	}

	/** Ends the process of the replica: its connections are reset and its address refuses new ones. */
	async crash() {
		const closed = new Promise(resolve => {
			this.server.close(resolve);
		});
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}

		this.queue = [];
		this.running = 0;
		await closed;
	}

	/** Starts again at the same address, as a new incarnation. */
	async restart() {
		this.incarnation++;
		this.born = Date.now();
		this.createServer();
		await this.listen(this.host, this.port);
	}

	async close() {
		await this.crash();
	}

	reject(response, status, headers) {
		response.writeHead(status, {'Siskinnotch-Not-Executed': '1', 'Content-Length': 0, ...headers});
		response.end();
	}

	async handle(message, response) {
		let body = '';
		try {
			body = await readBody(message);
		} catch {
			return;
		}

		const {headers, url, method} = message;
		const id = headers['siskinnotch-attempt-id'];
		response.setHeader('Siskinnotch-Replica-Load', `${this.running},${this.queue.length},${this.slots}`);
		if (id === undefined) {
			response.writeHead(url === '/healthz' ? 200 : 404, {'Siskinnotch-Replica-Id': this.id, 'Content-Length': 0});
			response.end();
			return;
		}

		response.setHeader('Siskinnotch-Attempt-Id', id);
		const expected = headers['siskinnotch-expected-replica'];
		const arrival = {
			id, at: now(), path: url, method, body, replica: this.id, expected, outcome: 'arrived',
		};
		this.arrivals.push(arrival);
		if (expected !== undefined && expected !== this.id) {
			arrival.outcome = 'misdirected';
			this.reject(response, 421, {'Siskinnotch-Replica-Id': this.id});
			return;
		}

		const {status, addedHeaders = {}, delay = 0} = this.decide(arrival);
		if (delay > 0) {
			await sleep(delay);
		}

		if (status !== undefined || (this.running >= this.slots && this.queue.length >= this.queuePlaces)) {
			arrival.outcome = 'rejected';
			this.onReject(arrival);
			this.reject(response, status ?? 503, addedHeaders);
			return;
		}

		const work = {arrival, response, addedHeaders};
		if (this.running >= this.slots) {
			this.queue.push(work);
		} else {
			this.run(work);
		}
	}

	async run({arrival, response, addedHeaders}) {
		const {server} = this;
		this.running++;
		if (!response.destroyed) {
			arrival.outcome = 'run';
			arrival.ranAt = now();
			this.onRun(arrival);
			await sleep(this.workMs);
		}

		if (server !== this.server || !server.listening) {
			arrival.outcome = 'lost';
			return;
		}

		this.running--;
		if (!response.destroyed) {
			arrival.outcome = 'answered';
			const bytes = Buffer.from(`answer to ${arrival.id} of ${this.id}`);
			response.writeHead(200, {'Siskinnotch-Replica-Signature': `${this.id}.${arrival.id}`, 'Content-Length': bytes.length, ...addedHeaders});
			response.end(bytes);
		}

		const next = this.queue.shift();
		if (next) {
			this.run(next);
		}
	}
}
