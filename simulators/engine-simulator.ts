import * as z from 'zod';
import {type Stage} from '../src/backends/stage.js';
import {type TimerService} from '../src/time/timer-service.js';
import {findFinishReason, runLayers, computeToken} from './answers.js';
import {AttemptRegistry} from './attempt-registry.js';
import {BatchQueue} from './batch-queue.js';
import {CacheExchange} from './cache-exchange.js';
import {EngineCache} from './engine-cache.js';
import {engineFaultsSchema} from './engine-faults.js';
import {EngineLinks} from './engine-links.js';
import {type EngineSettings} from './engine-settings.js';
import {EngineState} from './engine-state.js';
import {type JsonRequest, JsonServer, StatusResponse} from './json-server.js';
import {findViolations} from './layer-check.js';
import {type AttemptState} from './attempt-state.js';
import {
	formatAttemptKey, attemptSchema, countPositions, type EngineAttempt, type WorkItem, createNextWorkItem, workItemSchema,
} from './work-item.js';

const attemptIdSchema = z.object({request: z.string(), number: z.number()});
const attachSchema = attemptIdSchema.extend({from: z.number()});
const failureSchema = attemptIdSchema.extend({server: z.string()});

const connectionFaultDelayMs = 20;

/** Simulates a model engine: it serves a layer range, runs work in batches of simulated duration, computes deterministic tokens, and checks all work that it receives. */
export class EngineSimulator {
	private readonly server: JsonServer;
	private readonly links: EngineLinks;
	private readonly cache: EngineCache;
	private readonly cacheExchange: CacheExchange;
	private readonly state: EngineState;
	private readonly attempts: AttemptRegistry;
	private readonly queue: BatchQueue;
	private activity = {running: 0, queued: 0};
	private readonly violations: string[] = [];
	private readonly lateStarts: number[] = [];
	private readonly traces: string[] = [];
	private readonly counts = {attempts: 0, tokens: 0, skipped: 0};

	constructor(settings: EngineSettings, private readonly timers: TimerService) {
		this.links = new EngineLinks(timers, settings.links);
		this.cache = new EngineCache(settings.cache, settings.reportLag, timers);
		this.cacheExchange = new CacheExchange(this.cache, this.links);
		this.state = new EngineState(settings, timers);
		this.queue = new BatchQueue(settings, timers, batch => {
			this.finishBatch(batch);
		});
		this.attempts = new AttemptRegistry(timers, attempt => {
			this.queue.remove(work => formatAttemptKey(work.attempt) === formatAttemptKey(attempt));
		});
		this.server = new JsonServer({
			'POST /attempts': request => this.startAttempt(request),
			'POST /attempts/attach': ({body, response}) => {
				const {from, ...attempt} = attachSchema.parse(body);
				this.attempts.attach(attempt, from, response);
			},
			'POST /attempts/cancel': ({body}) => {
				this.attempts.cancel(attemptIdSchema.parse(body));
				return {};
			},
			'POST /attempts/failed': ({body}) => {
				const {server, ...attempt} = failureSchema.parse(body);
				this.attempts.sendStageFailure(attempt, server);
				return {};
			},
			'GET /attempts': ({path}) => this.attempts.getStatus(`${path[1]}/${path[2]}`),
			'POST /stages/work': request => this.receiveWork(request),
			'POST /cache/positions': ({body}) => this.cacheExchange.answerPositions(body),
			'GET /cache/events': ({query}) => ({events: this.cache.readEventsAfter(Number(query.get('after') ?? '0'))}),
			'POST /cache/export': async ({body}) => this.cacheExchange.export(body),
			'POST /cache/import': ({body}) => this.cacheExchange.import(body),
			'GET /load': () => this.state.createLoadReport(this.activity, this.queue.slowdownFactor),
			'POST /orders': ({body}) => this.state.applyOrder(body),
			'GET /state': () => this.state.getState(),
			'POST /control/faults': ({body}) => this.applyFaults(body),
			'GET /control/checks': () => ({
				violations: this.violations,
				lateStarts: this.lateStarts,
				counts: {...this.counts, cancelled: this.attempts.cancelled, prefilled: this.queue.prefilledPositions},
				traces: this.traces,
			}),
		});
	}

	private get settings(): EngineSettings {
		return this.state.settings;
	}

	/** Starts to listen. Resolves to the port. */
	async listen(): Promise<number> {
		this.timers.repeat(this.settings.reportLag, () => {
			this.activity = {running: this.attempts.countRunning(), queued: this.queue.size};
		});
		return this.server.listen(this.settings.port);
	}

	async close(): Promise<void> {
		await this.server.close();
	}

	private recordViolation(message: string): void {
		this.violations.push(message);
		console.error(`engine ${this.settings.id}: ${message}`);
	}

	private startAttempt({body, response, headers}: JsonRequest): unknown {
		const attempt = attemptSchema.parse(body);
		if (this.state.refusesAttempts) {
			return new StatusResponse(503, {message: 'no new attempts'});
		}

		this.counts.attempts++;
		this.traces.push(String(headers.traceparent ?? ''));
		const attemptState = this.attempts.getOrCreate(attempt);
		attemptState.firstIndex = attempt.generated.length;
		this.attempts.openStream(attemptState, response, attempt);
		void this.startFirstStage(attempt);
		return undefined;
	}

	/** Queries what all stages have cached for an attempt, and sends the first work item to the first stage. */
	private async startFirstStage(attempt: EngineAttempt): Promise<void> {
		const cached = await Promise.all(attempt.route.map(async stage => this.queryCachedPositions(stage, attempt)));
		const end = countPositions(attempt);
		// A stage must also run the positions that a later stage lacks, because that stage needs its output.
		const starts = cached.map((_, index) => Math.min(end - 1, ...cached.slice(index)));
		this.forward({
			attempt, stage: 0, index: attempt.generated.length, starts, end, layer: 0, state: 1, receipts: [],
		});
	}

	private async queryCachedPositions(stage: Stage, attempt: EngineAttempt): Promise<number> {
		const positions = await this.cacheExchange.queryPositions(stage, attempt);
		if (positions === undefined) {
			this.reportFailure(attempt, stage.server);
		}

		return positions ?? 0;
	}

	private reportFailure(attempt: EngineAttempt, server: string): void {
		const last = attempt.route.at(-1)!;
		const body = {request: attempt.request, number: attempt.number, server};
		if (last.server === this.settings.id) {
			this.attempts.sendStageFailure(attempt, server);
		} else {
			void this.links.post(last.address, '/attempts/failed', body);
		}
	}

	private receiveWork({body}: JsonRequest): unknown {
		for (const work of z.array(workItemSchema).parse(body)) {
			this.enqueue(work);
		}

		return {};
	}

	private enqueue(work: WorkItem): void {
		const attemptState = this.attempts.getOrCreate(work.attempt);
		attemptState.received++;
		if (attemptState.received === 1 && this.state.leavingSince !== undefined) {
			this.lateStarts.push(this.timers.now() - this.state.leavingSince);
		}

		if (!attemptState.isCancelled) {
			this.queue.add(work);
		}
	}

	private finishBatch(batch: readonly WorkItem[]): void {
		const outgoing = new Map<string, {stage: Stage; items: WorkItem[]}>();
		for (const work of batch) {
			const attemptState = this.attempts.getOrCreate(work.attempt);
			if (attemptState.isCancelled) {
				continue;
			}

			const next = this.advance(work, attemptState);
			if (next) {
				const stage = next.attempt.route[next.stage];
				const group = outgoing.get(stage.server) ?? {stage, items: []};
				group.items.push(next);
				outgoing.set(stage.server, group);
			}
		}

		for (const {stage, items} of outgoing.values()) {
			this.forwardAll(stage, items);
		}
	}

	/** Runs the layer range for a work item and records violations. Returns the item for the next stage, or undefined if the attempt is finished. */
	private advance(work: WorkItem, attemptState: AttemptState): WorkItem | undefined {
		const {id, firstLayer, endLayer, version} = this.settings;
		for (const violation of findViolations(work, attemptState, this.settings)) {
			this.recordViolation(violation);
		}

		const start = work.starts[work.stage];
		attemptState.nextPosition = work.end;
		attemptState.forwarded++;
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

		return this.emit(done, attemptState);
	}

	/** Sends a token to the router. Returns the work item of the next token, or undefined if the answer is complete. */
	private emit(work: WorkItem, attemptState: AttemptState): WorkItem | undefined {
		const {attempt, index, receipts, state} = work;
		if (state !== runLayers(1, 0, this.settings.layers)) {
			this.recordViolation(`request ${attempt.request} token ${index} did not run exactly the layers 0 to ${this.settings.layers}`);
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
		attemptState.lines.push(line);
		attemptState.response?.write(line);
		if (finish !== undefined) {
			attemptState.isFinished = true;
			attemptState.response?.end();
			this.releaseOtherStages(attempt);
			return undefined;
		}

		return createNextWorkItem(work);
	}

	/** Cancels a finished attempt at the other stages, so that they release its state. */
	private releaseOtherStages(attempt: EngineAttempt): void {
		for (const stage of attempt.route.slice(0, -1)) {
			void this.links.post(stage.address, '/attempts/cancel', {request: attempt.request, number: attempt.number});
		}
	}

	private forward(work: WorkItem): void {
		this.forwardAll(work.attempt.route[work.stage], [work]);
	}

	private forwardAll(stage: Stage, items: readonly WorkItem[]): void {
		if (stage.server === this.settings.id) {
			for (const work of items) {
				this.enqueue(work);
			}

			return;
		}

		this.links.send(stage, '/stages/work', items, () => {
			for (const {attempt} of items) {
				this.reportFailure(attempt, stage.server);
			}
		});
	}

	private applyFaults(body: unknown): unknown {
		const faults = engineFaultsSchema.parse(body);
		this.queue.slowdownFactor = faults.slowness ?? this.queue.slowdownFactor;
		if (faults.linkDelays) {
			this.links.setDelays(faults.linkDelays);
		}

		this.state.applyFaults(faults);
		// Connection faults take effect only after this control call was answered.
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
