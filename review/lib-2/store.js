import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {now, sleep} from './clock.js';
import {findPort} from './ports.js';

/** Rows of one answer at most, and bytes. */
const maxRows = 500;
const maxBytes = 1_000_000;
const bytesPerSlice = 4096;

async function readText(message) {
	const chunks = [];
	for await (const chunk of message) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
}

function compareKeys(left, right) {
	return Buffer.compare(Buffer.from(left.key), Buffer.from(right.key));
}

/** The platform's store: rows, conditional transactions and the feed of changes, as the pages describe them. */
export class Store {
	/** Called with the name of the table and the first key after each answer of a read was taken. */
	onRead = () => undefined;
	/** Whether the history is gone, so that the next feed of each connection is answered with 410. */
	rows = new Map();
	version = 0;
	historyStart = 0;
	waiting = new Set();

	/**
	@param linkMbps - bandwidth of the machine's link, at which long answers arrive; undefined for no limit
	@param latency - milliseconds an answer takes
	*/
	constructor({linkMbps, latency = 4} = {}) {
		this.linkMbps = linkMbps;
		this.latency = latency;
		this.server = createServer((message, response) => {
			this.answer(message, response);
		});
		this.server.keepAliveTimeout = 60_000;
	}

	async listen(host = '127.0.0.1') {
		const port = await findPort(host);
		await new Promise((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(port, host, resolve);
		});
		this.address = `${host}:${port}`;
	}

	close() {
		this.server.closeAllConnections();
		this.server.close();
	}

	/** Writes a row as an operator or a replica does; returns the version. */
	put(tableName, key, value) {
		this.write({tableName, key, data: Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64')});
		return this.version;
	}

	remove(tableName, key) {
		this.version++;
		this.rows.set(`${tableName}/${key}`, {
			tableName, part: '', key, data: '', schemaVersion: this.version, deleted: true,
		});
		this.wake();
	}

	/** Discards the history of changes, as a store may at any time. */
	compact() {
		this.historyStart = this.version;
		this.wake();
	}

	write({tableName, key, data}) {
		this.version++;
		this.rows.set(`${tableName}/${key}`, {
			tableName, part: '', key, data, schemaVersion: this.version,
		});
		this.wake();
	}

	wake() {
		for (const resolve of this.waiting) {
			resolve();
		}

		this.waiting.clear();
	}

	get position() {
		return {schemaVersion: this.version, currentTimeMs: Math.round(now())};
	}

	async answer(message, response) {
		const url = new URL(message.url, 'http://store');
		const text = await readText(message);
		await sleep(this.latency);
		const [status, body] = await this.handle(url, text);
		const bytes = Buffer.from(JSON.stringify(body));
		response.writeHead(status, {'content-type': 'application/json', 'content-length': bytes.length});
		await this.send(response, bytes);
	}

	/** Sends an answer at the rate of the link. */
	async send(response, bytes) {
		if (this.linkMbps === undefined || bytes.length < bytesPerSlice) {
			response.end(bytes);
			return;
		}

		const startedAt = now();
		for (let sent = 0; sent < bytes.length && !response.destroyed; sent += bytesPerSlice) {
			response.write(bytes.subarray(sent, sent + bytesPerSlice));
			const dueAt = startedAt + ((sent + bytesPerSlice) * 8 / (this.linkMbps * 1000));
			await sleep(Math.max(0, dueAt - now())); // eslint-disable-line no-await-in-loop
		}

		response.end();
	}

	async handle({pathname, searchParams}, text) {
		switch (pathname) {
			case '/v1/rows-get': {
				return this.read(searchParams);
			}

			case '/v1/rows-feed': {
				return this.feed(searchParams);
			}

			case '/v1/rows-tx': {
				return this.transact(JSON.parse(text));
			}

			default: {
				return [404, {}];
			}
		}
	}

	find(tableName) {
		return [...this.rows.values()].filter(row => row.tableName === tableName);
	}

	read(query) {
		const tableName = query.get('tableName');
		const from = query.get('from') ?? '';
		const to = query.get('to');
		const all = this.find(tableName)
			.filter(({key, deleted}) => !deleted && key >= from && (to === null || key < to))
			.toSorted(compareKeys);
		const rows = [];
		let bytes = 0;
		for (const row of all.slice(0, Math.min(maxRows, Number(query.get('pageSize') ?? maxRows)))) {
			bytes += JSON.stringify(row).length;
			if (bytes > maxBytes && rows.length > 0) {
				break;
			}

			rows.push(row);
		}

		const answer = {rows, hasMore: rows.length < all.length, ...this.position};
		this.onRead(tableName, from);
		return [200, answer];
	}

	async feed(query) {
		const tableName = query.get('tableName');
		const after = Number(query.get('after'));
		const endsAt = now() + Number(query.get('waitTimeMs'));
		for (;;) {
			if (after < this.historyStart || after > this.version) {
				return [410, this.position];
			}

			const rows = this.find(tableName).filter(({schemaVersion}) => schemaVersion > after).toSorted((left, right) => left.schemaVersion - right.schemaVersion);
			const remaining = endsAt - now();
			if (rows.length > 0 || remaining <= 0) {
				return [200, {rows, ...this.position}];
			}

			await this.waitForChange(remaining); // eslint-disable-line no-await-in-loop
		}
	}

	async waitForChange(limit) {
		await new Promise(resolve => {
			const timer = setTimeout(resolve, limit);
			this.waiting.add(() => {
				clearTimeout(timer);
				resolve();
			});
		});
	}

	transact({expectedRevision = [], write = [], remove = []}) {
		const conflicts = expectedRevision.filter(({tableName, key, schemaVersion}) => {
			const row = this.rows.get(`${tableName}/${key}`);
			return (row && !row.deleted ? row.schemaVersion : 0) !== schemaVersion;
		});
		if (conflicts.length > 0) {
			const rows = conflicts.flatMap(({tableName, key}) => {
				const row = this.rows.get(`${tableName}/${key}`);
				return row && !row.deleted ? [row] : [];
			});
			return [412, {rows, ...this.position}];
		}

		for (const row of write) {
			this.write(row);
		}

		for (const {tableName, key} of remove) {
			this.remove(tableName, key);
		}

		return [200, this.position];
	}
}
