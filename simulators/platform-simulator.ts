import * as z from 'zod';
import {listedInstanceSchema, type ListedInstance} from '../src/store/listed-instance.js';
import {type Row} from '../src/store/row.js';
import {type TimerService} from '../src/time/timer-service.js';
import {type JsonRequest, JsonServer, StatusResponse} from './json-server.js';

const writesSchema = z.object({writes: z.array(z.object({key: z.string(), expected: z.number(), value: z.string()}))});

const faultsSchema = z.object({
	/** Whether the connection of every request is reset. */
	isDown: z.boolean().optional(),
	/** Whether requests get no answer. */
	isSilent: z.boolean().optional(),
	/** Milliseconds before each answer. */
	delay: z.number().optional(),
	/** Number of next writes that take effect but get no answer. */
	loseAnswers: z.number().optional(),
	/** Milliseconds after which a change of the instance list becomes visible. */
	listLag: z.number().optional(),
	/** Maximum number of transactions a second; further ones are refused with status 503. */
	writesPerSecond: z.number().optional(),
});

type ListEntry = {
	readonly revision: number;
	readonly visibleAt: number;
	readonly instance: ListedInstance;
};

/** Simulates the platform in memory: table, object store, instance list with a delay, and weight store. Control calls set faults. */
export class PlatformSimulator {
	private readonly server: JsonServer;
	private readonly rows = new Map<string, Row>();
	private readonly objects = new Map<string, string>();
	private listEntries: ListEntry[] = [];
	private revision = 0;
	private faults: z.infer<typeof faultsSchema> = {};
	private readonly counts = {reads: 0, writes: 0, transactions: 0};
	private writesThisSecond = 0;

	constructor(private readonly timers: TimerService) {
		this.server = new JsonServer({
			'POST /table/read': async request => this.withFaults(request, () => this.read(request)),
			'POST /table/scan': async request => this.withFaults(request, () => this.scan(request)),
			'POST /table/transact': async request => this.transactWithFaults(request),
			'PUT /objects': async request => this.withFaults(request, () => this.putObject(request)),
			'GET /objects': async request => this.withFaults(request, () => this.getObject(request)),
			'GET /instances': async request => this.withFaults(request, () => this.listChanges(request)),
			'GET /weights': async request => this.withFaults(request, () => ({versions: ['v1', 'v2']})),
			'POST /control/faults': ({body}) => this.applyFaults(body),
			'POST /control/instances': ({body}) => this.updateInstanceList(body),
			'GET /control/counts': () => this.counts,
			'GET /control/rows': ({query}) => ({rows: [...this.rows.values()].filter(({key}) => key.startsWith(query.get('prefix') ?? ''))}),
		});
	}

	/** Starts to listen. Resolves to the port. */
	async listen(port: number): Promise<number> {
		this.timers.repeat(1000, () => {
			this.writesThisSecond = 0;
		});
		return this.server.listen(port);
	}

	async close(): Promise<void> {
		await this.server.close();
	}

	private applyFaults(body: unknown): unknown {
		this.faults = {...this.faults, ...faultsSchema.parse(body)};
		return {};
	}

	private async withFaults(request: JsonRequest, work: () => unknown): Promise<unknown> {
		const {isDown, isSilent, delay} = this.faults;
		if (isDown) {
			request.response.destroy();
			return undefined;
		}

		if (isSilent) {
			return undefined;
		}

		if (delay) {
			await this.timers.sleep(delay);
			// A request that was delayed when the platform went down must not take effect.
			if (this.faults.isDown) {
				request.response.destroy();
				return undefined;
			}
		}

		return work();
	}

	private read({body}: JsonRequest): unknown {
		this.counts.reads++;
		const row = this.rows.get(z.object({key: z.string()}).parse(body).key);
		return {rows: row ? [row] : []};
	}

	private scan({body}: JsonRequest): unknown {
		this.counts.reads++;
		const {prefix} = z.object({prefix: z.string()}).parse(body);
		const rows = [...this.rows.values()].filter(({key}) => key.startsWith(prefix));
		return {rows: rows.toSorted((a, b) => (a.key < b.key ? -1 : 1))};
	}

	private async transactWithFaults(request: JsonRequest): Promise<unknown> {
		return this.withFaults(request, () => {
			const limit = this.faults.writesPerSecond;
			if (limit !== undefined && this.writesThisSecond >= limit) {
				return new StatusResponse(503, {message: 'too many writes'});
			}

			this.writesThisSecond++;
			const answer = this.transact(request.body);
			if ((this.faults.loseAnswers ?? 0) > 0) {
				this.faults.loseAnswers!--;
				request.response.destroy();
				return undefined;
			}

			return answer;
		});
	}

	private transact(body: unknown): unknown {
		this.counts.transactions++;
		const {writes} = writesSchema.parse(body);
		const conflicts = writes.filter(({key, expected}) => (this.rows.get(key)?.version ?? 0) !== expected);
		if (conflicts.length > 0) {
			return {isApplied: false, conflicts: conflicts.map(({key}) => this.rows.get(key) ?? {key, version: 0, value: ''})};
		}

		for (const {key, expected, value} of writes) {
			this.counts.writes++;
			this.rows.set(key, {key, version: expected + 1, value});
		}

		return {isApplied: true, conflicts: []};
	}

	private putObject({path, body}: JsonRequest): unknown {
		this.objects.set(path[1], z.object({text: z.string()}).parse(body).text);
		return {};
	}

	private getObject({path}: JsonRequest): unknown {
		const text = this.objects.get(path[1]);
		return text === undefined ? new StatusResponse(404, {}) : {text};
	}

	private updateInstanceList(body: unknown): unknown {
		const {instances} = z.object({instances: z.array(listedInstanceSchema)}).parse(body);
		this.revision++;
		for (const instance of instances) {
			this.listEntries = [
				...this.listEntries,
				{revision: this.revision, visibleAt: this.timers.now() + (this.faults.listLag ?? 0), instance},
			];
		}

		return {revision: this.revision};
	}

	private listChanges({query}: JsonRequest): unknown {
		const since = Number(query.get('since') ?? '0');
		const visible = this.listEntries.filter(({visibleAt}) => visibleAt <= this.timers.now());
		const newest = new Map(visible.map(entry => [entry.instance.id, entry]));
		const changed = [...newest.values()].filter(({revision}) => revision > since);
		const revision = visible.at(-1)?.revision ?? 0;
		return {revision, changed: changed.map(({instance}) => instance)};
	}
}
