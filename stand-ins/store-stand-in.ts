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

/** The rows of the users' platform store in memory. */
export class StoreStandIn {
	/** Whether every call is answered with 503. */
	isDown = false;
	private readonly rows = new Map<string, StoredRow>();
	private transaction = 0;
	private readonly server = new JsonServer({
		'GET /v1/rows-get': request => this.guard(() => this.read(request)),
		'GET /v1/rows-feed': async request => this.guard(async () => this.follow(request)),
		'POST /v1/rows-tx': request => this.guard(() => this.write(request)),
	});

	constructor(private readonly timers: TimerService) {}

	/** Listens and resolves to the port. */
	async listen(port: number): Promise<number> {
		return this.server.listen(port);
	}

	async close(): Promise<void> {
		await this.server.close();
	}

	/** Writes a row as the operator or a replica does. */
	put(tableName: string, key: string, value: unknown): void {
		this.store(tableName, key, Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'));
	}

	/** Removes a row. */
	remove(tableName: string, key: string): void {
		this.transaction++;
		this.rows.set(`${tableName}/${key}`, {
			tableName, part: '', key, data: '', schemaVersion: this.transaction, deleted: true,
		});
	}

	/** The value of a row; undefined where there is none. */
	value(tableName: string, key: string): unknown {
		const row = this.rows.get(`${tableName}/${key}`);
		return row && !row.deleted ? JSON.parse(Buffer.from(row.data, 'base64').toString()) as unknown : undefined;
	}

	private guard(work: () => unknown): unknown {
		return this.isDown ? new StatusResponse(503, {}) : work();
	}

	private store(tableName: string, key: string, data: string): void {
		this.transaction++;
		this.rows.set(`${tableName}/${key}`, {
			tableName, part: '', key, data, schemaVersion: this.transaction,
		});
	}

	private get stamp() {
		return {schemaVersion: this.transaction, currentTimeMs: Math.round(this.timers.now())};
	}

	private table(name: string | null): readonly StoredRow[] { // eslint-disable-line @typescript-eslint/no-restricted-types
		return [...this.rows.values()].filter(({tableName}) => tableName === name);
	}

	private read({query}: JsonRequest): unknown {
		const [from, to] = [query.get('from') ?? '', query.get('to')];
		const rows = this.table(query.get('tableName')).filter(({key, deleted}) => !deleted && key >= from && (to === null || key < to));
		return {rows: rows.toSorted((left, right) => left.key < right.key ? -1 : 1), hasMore: false, ...this.stamp};
	}

	private async follow({query}: JsonRequest): Promise<unknown> {
		const after = Number(query.get('after'));
		for (let left = Number(query.get('waitTimeMs')); ; left -= feedPollMs) {
			const rows = this.table(query.get('tableName')).filter(({schemaVersion}) => schemaVersion > after);
			if (rows.length > 0 || left <= 0) {
				return {rows, ...this.stamp};
			}

			await this.timers.sleep(feedPollMs); // eslint-disable-line no-await-in-loop
		}
	}

	private write({body}: JsonRequest): unknown {
		const {expectedRevision, write} = transactionSchema.parse(body);
		const unexpected = expectedRevision.filter(({tableName, key, schemaVersion}) => (this.rows.get(`${tableName}/${key}`)?.schemaVersion ?? 0) !== schemaVersion);
		if (unexpected.length > 0) {
			const rows = unexpected.flatMap(({tableName, key}) => this.rows.get(`${tableName}/${key}`) ?? []);
			return new StatusResponse(412, {rows, ...this.stamp});
		}

		for (const {tableName, key, data} of write) {
			this.store(tableName, key, data);
		}

		return this.stamp;
	}
}
