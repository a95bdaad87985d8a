import {Buffer} from 'node:buffer';
import * as z from 'zod';
import {type TimerService} from '../src/time/timer-service.js';
import {JsonServer, StatusResponse, type JsonRequest} from './json-server.js';

const transactionSchema = z.object({
	expectedRevision: z.array(z.object({tableName: z.string(), key: z.string(), schemaVersion: z.number()})).default([]),
	write: z.array(z.object({tableName: z.string(), key: z.string(), data: z.string()})).default([]),
});

type StoredRow = {
	readonly tableName: string;
	readonly part: string;
	readonly key: string;
	readonly data: string;
	readonly schemaVersion: number;
	readonly deleted?: boolean;
};

const feedPollMs = 20;

/** Simulates the row store of the platform in memory. */
export class StoreSimulator {
	/** Whether every call is answered with status 503. */
	isDown = false;
	private readonly rows = new Map<string, StoredRow>();
	private transaction = 0;
	private readonly server = new JsonServer({
		'GET /v1/rows-get': request => this.answerUnlessDown(() => this.readRows(request)),
		'GET /v1/rows-feed': async request => this.answerUnlessDown(async () => this.readFeed(request)),
		'POST /v1/rows-tx': request => this.answerUnlessDown(() => this.applyTransaction(request)),
	});

	constructor(private readonly timers: TimerService) {}

	/** Starts to listen. Resolves to the port. */
	async listen(port: number): Promise<number> {
		return this.server.listen(port);
	}

	async close(): Promise<void> {
		await this.server.close();
	}

	/** Writes a row, as an operator or a replica would. A string is stored as it is, other values as JSON. */
	putRow(tableName: string, key: string, value: unknown): void {
		this.storeRow(tableName, key, Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'));
	}

	/** Removes a row. */
	removeRow(tableName: string, key: string): void {
		this.transaction++;
		this.rows.set(`${tableName}/${key}`, {
			tableName, part: '', key, data: '', schemaVersion: this.transaction, deleted: true,
		});
	}

	/** Returns the value of a row; undefined if there is none. */
	readValue(tableName: string, key: string): unknown {
		const row = this.rows.get(`${tableName}/${key}`);
		return row && !row.deleted ? JSON.parse(Buffer.from(row.data, 'base64').toString()) as unknown : undefined;
	}

	private answerUnlessDown(work: () => unknown): unknown {
		return this.isDown ? new StatusResponse(503, {}) : work();
	}

	private storeRow(tableName: string, key: string, data: string): void {
		this.transaction++;
		this.rows.set(`${tableName}/${key}`, {
			tableName, part: '', key, data, schemaVersion: this.transaction,
		});
	}

	private get position() {
		return {schemaVersion: this.transaction, currentTimeMs: Math.round(this.timers.now())};
	}

	private findRows(name: string | null): readonly StoredRow[] { // eslint-disable-line @typescript-eslint/no-restricted-types
		return [...this.rows.values()].filter(({tableName}) => tableName === name);
	}

	private readRows({query}: JsonRequest): unknown {
		const [from, to] = [query.get('from') ?? '', query.get('to')];
		const rows = this.findRows(query.get('tableName')).filter(({key, deleted}) => !deleted && key >= from && (to === null || key < to));
		return {rows: rows.toSorted((left, right) => left.key < right.key ? -1 : 1), hasMore: false, ...this.position};
	}

	private async readFeed({query}: JsonRequest): Promise<unknown> {
		const after = Number(query.get('after'));
		for (let remainingMs = Number(query.get('waitTimeMs')); ; remainingMs -= feedPollMs) {
			const rows = this.findRows(query.get('tableName')).filter(({schemaVersion}) => schemaVersion > after);
			if (rows.length > 0 || remainingMs <= 0) {
				return {rows, ...this.position};
			}

			await this.timers.sleep(feedPollMs); // eslint-disable-line no-await-in-loop
		}
	}

	private applyTransaction({body}: JsonRequest): unknown {
		const {expectedRevision, write} = transactionSchema.parse(body);
		const conflicts = expectedRevision.filter(({tableName, key, schemaVersion}) => (this.rows.get(`${tableName}/${key}`)?.schemaVersion ?? 0) !== schemaVersion);
		if (conflicts.length > 0) {
			const rows = conflicts.flatMap(({tableName, key}) => this.rows.get(`${tableName}/${key}`) ?? []);
			return new StatusResponse(412, {rows, ...this.position});
		}

		for (const {tableName, key, data} of write) {
			this.storeRow(tableName, key, data);
		}

		return this.position;
	}
}
