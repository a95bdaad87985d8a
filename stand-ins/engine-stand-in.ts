import * as z from 'zod';
import {type Stage} from '../src/backends/stage.js';
import {type TimerService} from '../src/time/timer-service.js';
import {findFinishReason, runLayers, computeToken} from './answers.js';
import {AttemptRegistry} from './attempt-registry.js';
import {BatchQueue} from './batch-queue.js';
import {CacheExchange} from './cache-exchange.js';
import {EngineCache} from './engine-cache.js';
import {faultsSchema} from './engine-faults.js';
import {EngineLinks} from './engine-links.js';
import {type EngineSettings} from './engine-settings.js';
import {EngineState} from './engine-state.js';
import {type JsonRequest, JsonServer} from './json-server.js';
import {findViolations} from './layer-check.js';
import {type AttemptState} from './attempt-state.js';
import {
	formatAttemptKey, attemptSchema, countPositions, type EngineAttempt, type WorkItem, createNextWorkItem, workItemSchema,
} from './work-item.js';

const nameSchema = z.object({request: z.string(), number: z.number()});
const attachSchema = nameSchema.extend({from: z.number()});
const failureSchema = nameSchema.extend({server: z.string()});

const connectionFaultDelayMs = 20;

/** A model engine without a model: it holds a layer range, batches continuously, and checks all that reaches it. */
export class EngineStandIn {
	private readonly server: JsonServer;
	private readonly links: EngineLinks;
	private readonly cache: EngineCache;
	private readonly caches: CacheExchange;
	private readonly state: EngineState;
	private readonly book: AttemptRegistry;
	private readonly queue: BatchQueue;
	private report = {running: 0, queued: 0};
	private readonly violations: string[] = [];
	private readonly lateStarts: number[] = [];
	private readonly traces: string[] = [];
	private readonly counts = {attempts: 0, tokens: 0, skipped: 0};

	constructor(settings: EngineSettings, private readonly timers: TimerService) {
		this.links = new EngineLinks(timers, settings.links);
		this.cache = new EngineCache(settings.cache, settings.reportLag, timers);
		this.caches = new CacheExchange(this.cache, this.links);
		this.state = new EngineState(settings, timers);
		this.queue = new BatchQueue(settings, timers, batch => {
			this.finishBatch(batch);
		});
		this.book = new AttemptRegistry(timers, attempt => {
			this.queue.remove(work => formatAttemptKey(work.attempt) === formatAttemptKey(attempt));
		});
		this.server = new JsonServer({
			'POST /attempts': request => this.start(request),
			'POST /attempts/attach': ({body, response}) => {
				const {from, ...attempt} = attachSchema.parse(body);
				this.book.attach(attempt, from, response);
			},
			'POST /attempts/cancel': ({body}) => {
				this.book.stop(nameSchema.parse(body));
				return {};
			},
			'POST /attempts/failed': ({body}) => {
				const {server, ...attempt} = failureSchema.parse(body);
				this.book.fail(attempt, server);
				return {};
			},
			'GET /attempts': ({path}) => this.book.status(`${path[1]}/${path[2]}`),
			'POST /stages/work': request => this.receive(request),
			'POST /cache/positions': ({body}) => this.caches.positions(body),
			'GET /cache/events': ({query}) => ({events: this.cache.eventsAfter(Number(query.get('after') ?? '0'))}),
			'POST /cache/export': async ({body}) => this.caches.export(body),
			'POST /cache/import': ({body}) => this.caches.import(body),
			'GET /load': () => this.state.load(this.report, this.queue.slowness),
			'POST /orders': ({body}) => this.state.order(body),
			'GET /state': () => this.state.read(),
			'POST /control/faults': ({body}) => this.fault(body),
			'GET /control/checks': () => ({
				violations: this.violations,
				lateStarts: this.lateStarts,
				counts: {...this.counts, cancelled: this.book.cancelled, prefilled: this.queue.prefilled},
				traces: this.traces,
			}),
		});
	}

	private get settings(): EngineSettings {
		return this.state.settings;
	}

	/** Listens and resolves to the port. */
	async listen(): Promise<number> {
		this.timers.repeat(this.settings.reportLag, () => {
			this.report = {running: this.book.running(), queued: this.queue.size};
		});
		return this.server.listen(this.settings.port);
	}

	async close(): Promise<void> {
		await this.server.close();
	}

	private violate(message: string): void {
		this.violations.push(message);
		console.error(`engine ${this.settings.id}: ${message}`);
	}

	private start({body, response, headers}: JsonRequest): unknown {
		const attempt = attemptSchema.parse(body);
		this.counts.attempts++;
		this.traces.push(String(headers.traceparent ?? ''));
		const session = this.book.sessionOf(attempt);
		session.firstIndex = attempt.generated.length;
		this.book.open(session, response, attempt);
		void this.begin(attempt);
		return undefined;
	}

	/** Asks all stages what they have in their caches, and starts the first one. */
	private async begin(attempt: EngineAttempt): Promise<void> {
		const cached = await Promise.all(attempt.route.map(async stage => this.cachedAt(stage, attempt)));
		const end = countPositions(attempt);
		// A stage must run again what any later stage lacks, since that one needs its output.
		const starts = cached.map((_, index) => Math.min(end - 1, ...cached.slice(index)));
		this.hand({
			attempt, stage: 0, index: attempt.generated.length, starts, end, layer: 0, state: 1, receipts: [],
		});
	}

	private async cachedAt(stage: Stage, attempt: EngineAttempt): Promise<number> {
		const positions = await this.caches.positionsAt(stage, attempt);
		if (positions === undefined) {
			this.reportFailure(attempt, stage.server);
		}

		return positions ?? 0;
	}

	private reportFailure(attempt: EngineAttempt, server: string): void {
		const last = attempt.route.at(-1)!;
		const body = {request: attempt.request, number: attempt.number, server};
		if (last.server === this.settings.id) {
			this.book.fail(attempt, server);
		} else {
			void this.links.post(last.address, '/attempts/failed', body);
		}
	}

	private receive({body}: JsonRequest): unknown {
		for (const work of z.array(workItemSchema).parse(body)) {
			this.enqueue(work);
		}

		return {};
	}

	private enqueue(work: WorkItem): void {
		const session = this.book.sessionOf(work.attempt);
		session.received++;
		if (session.received === 1 && this.state.leavingSince !== undefined) {
			this.lateStarts.push(this.timers.now() - this.state.leavingSince);
		}

		if (!session.isCancelled) {
			this.queue.add(work);
		}
	}

	private finishBatch(batch: readonly WorkItem[]): void {
		const outgoing = new Map<string, {stage: Stage; works: WorkItem[]}>();
		for (const work of batch) {
			const session = this.book.sessionOf(work.attempt);
			if (session.isCancelled) {
				continue;
			}

			const next = this.advance(work, session);
			if (next) {
				const stage = next.attempt.route[next.stage];
				const group = outgoing.get(stage.server) ?? {stage, works: []};
				group.works.push(next);
				outgoing.set(stage.server, group);
			}
		}

		for (const {stage, works} of outgoing.values()) {
			this.handAll(stage, works);
		}
	}

	/** Runs the range for one piece of work, with all checks; returns what goes on to the next stage. */
	private advance(work: WorkItem, session: AttemptState): WorkItem | undefined {
		const {id, firstLayer, endLayer, version} = this.settings;
		for (const violation of findViolations(work, session, this.settings)) {
			this.violate(violation);
		}

		const start = work.starts[work.stage];
		session.nextPosition = work.end;
		session.forwarded++;
		this.cache.put(work.attempt.request, work.attempt.prompt, work.end);
		this.counts.skipped += start;
		const receipts = [...work.receipts, {
			stage: work.stage, firstLayer, endLayer, version,
		}];
		const state = runLayers(work.state, firstLayer, endLayer);
		const done = {
			...work, layer: endLayer, state, receipts,
		};
		if (work.attempt.route.at(-1)!.server !== id) {
			return {...done, stage: work.stage + 1};
		}

		return this.emit(done, session);
	}

	/** Sends a token to the router; returns the work for the next one. */
	private emit(work: WorkItem, session: AttemptState): WorkItem | undefined {
		const {attempt, index, receipts, state} = work;
		if (state !== runLayers(1, 0, this.settings.layers)) {
			this.violate(`request ${attempt.request} token ${index} went through other layers than 0 to ${this.settings.layers}`);
		}

		const finish = findFinishReason(attempt, index);
		const line = `${JSON.stringify({
			a: attempt.number,
			i: index,
			x: computeToken(attempt.prompt, index),
			r: receipts.map(({stage, firstLayer, endLayer, version}) => [stage, firstLayer, endLayer, version]),
			f: finish,
		})}\n`;
		this.counts.tokens++;
		session.lines.push(line);
		session.response?.write(line);
		if (finish !== undefined) {
			session.isFinished = true;
			session.response?.end();
			this.finishOthers(attempt);
			return undefined;
		}

		return createNextWorkItem(work);
	}

	/** Tells the other stages that an attempt is whole. */
	private finishOthers(attempt: EngineAttempt): void {
		for (const stage of attempt.route.slice(0, -1)) {
			void this.links.post(stage.address, '/attempts/cancel', {request: attempt.request, number: attempt.number});
		}
	}

	private hand(work: WorkItem): void {
		this.handAll(work.attempt.route[work.stage], [work]);
	}

	private handAll(stage: Stage, works: readonly WorkItem[]): void {
		if (stage.server === this.settings.id) {
			for (const work of works) {
				this.enqueue(work);
			}

			return;
		}

		this.links.send(stage, '/stages/work', works, () => {
			for (const {attempt} of works) {
				this.reportFailure(attempt, stage.server);
			}
		});
	}

	private fault(body: unknown): unknown {
		const faults = faultsSchema.parse(body);
		this.queue.slowness = faults.slowness ?? this.queue.slowness;
		if (faults.linkDelays) {
			this.links.setDelays(faults.linkDelays);
		}

		if (faults.ignoreFencing !== undefined) {
			this.state.checksOrders = !faults.ignoreFencing;
		}

		if (faults.isLeaving !== undefined) {
			this.state.leavingSince = faults.isLeaving ? this.timers.now() : undefined;
		}

		// The order itself is answered first.
		this.timers.after(connectionFaultDelayMs, () => {
			if (faults.muteConnections) {
				this.server.muteConnections();
			}

			if (faults.resetConnections) {
				this.server.resetConnections();
			}
		});
		return {};
	}
}
