import * as z from 'zod';
import {type TimerService} from '../time/timer-service.js';
import {HttpClient} from './http-client.js';
import {type InstanceChanges} from './instance-changes.js';
import {InstanceList} from './instance-list.js';
import {listedInstanceSchema, type ListedInstance} from './listed-instance.js';
import {ObjectStore} from './object-store.js';
import {Platform} from './platform.js';
import {type Row} from './row.js';
import {Table} from './table.js';
import {type TransactionResult} from './transaction-result.js';
import {WeightStore} from './weight-store.js';
import {type ConditionalWrite} from './conditional-write.js';

const rowSchema = z.object({key: z.string(), version: z.number(), value: z.string()});
const rowsSchema = z.object({rows: z.array(rowSchema)});
const transactionSchema = z.object({isApplied: z.boolean(), conflicts: z.array(rowSchema)});
const changesSchema = z.object({revision: z.number(), changed: z.array(z.unknown())});
const versionsSchema = z.object({versions: z.array(z.string())});

/** Decodes an entry of the instance list; empty if it is malformed, so that it does not withhold the others. */
function decodeListed(entry: unknown): readonly ListedInstance[] {
	const {data} = listedInstanceSchema.safeParse(entry);
	return data ? [data] : [];
}

class HttpTable extends Table {
	constructor(private readonly client: HttpClient) {
		super();
	}

	async read(key: string): Promise<Row | undefined> {
		const response = await this.client.send('POST', '/table/read', {key});
		return rowsSchema.parse(JSON.parse(response.body)).rows[0];
	}

	async scan(prefix: string): Promise<readonly Row[]> {
		const response = await this.client.send('POST', '/table/scan', {prefix});
		return rowsSchema.parse(JSON.parse(response.body)).rows;
	}

	async transact(writes: readonly ConditionalWrite[]): Promise<TransactionResult> {
		const response = await this.client.send('POST', '/table/transact', {writes});
		return transactionSchema.parse(JSON.parse(response.body));
	}
}

class HttpObjectStore extends ObjectStore {
	constructor(private readonly client: HttpClient) {
		super();
	}

	async put(key: string, text: string): Promise<void> {
		await this.client.send('PUT', `/objects/${encodeURIComponent(key)}`, {text});
	}

	async get(key: string): Promise<string | undefined> {
		const response = await this.client.send('GET', `/objects/${encodeURIComponent(key)}`);
		return response.status === 404 ? undefined : z.object({text: z.string()}).parse(JSON.parse(response.body)).text;
	}
}

class HttpInstanceList extends InstanceList {
	constructor(private readonly client: HttpClient) {
		super();
	}

	async changesSince(revision: number): Promise<InstanceChanges> {
		const response = await this.client.send('GET', `/instances?since=${revision}`);
		const page = changesSchema.parse(JSON.parse(response.body));
		return {revision: page.revision, changed: page.changed.flatMap(entry => decodeListed(entry))};
	}
}

class HttpWeightStore extends WeightStore {
	constructor(private readonly client: HttpClient) {
		super();
	}

	async versions(model: string): Promise<readonly string[]> {
		const response = await this.client.send('GET', `/weights/${encodeURIComponent(model)}`);
		return versionsSchema.parse(JSON.parse(response.body)).versions;
	}
}

/** Accesses the platform over HTTP and JSON; docs/ASSUMPTIONS.md describes the interface. */
export class HttpPlatform extends Platform {
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly instances: InstanceList;
	readonly weights: WeightStore;

	/**
	@param baseUrl - URL without a trailing slash
	@param timeout - time limit of a request, in milliseconds
	*/
	constructor(baseUrl: string, timeout: number, timers: TimerService) {
		super();
		const client = new HttpClient(baseUrl, timeout, timers);
		this.table = new HttpTable(client);
		this.objects = new HttpObjectStore(client);
		this.instances = new HttpInstanceList(client);
		this.weights = new HttpWeightStore(client);
	}
}
