import {type ServerResponse} from 'node:http';
import {z} from 'zod';
import {type Stage} from '../src/backends/stage.js';
import {priorities} from '../src/configuration/priority.js';
import {type TimerService} from '../src/time/timer-service.js';
import {FinishReason} from '../src/backends/finish-reason.js';
import {lengthOf, runLayers, tokenAt} from './answers.js';
import {EngineCache} from './engine-cache.js';
import {EngineLinks} from './engine-links.js';
import {type EngineSettings} from './engine-settings.js';
import {type JsonRequest, JsonServer, StatusAnswer} from './json-server.js';
import {newSession, type Session} from './session.js';
import {
	attemptKey, attemptSchema, positionsOf, type StandInAttempt, type Work, workSchema,
} from './work.js';

const faultsSchema = z.object({
	muteConnections: z.boolean().optional(),
	resetConnections: z.boolean().optional(),
	/** Milliseconds added on links, by server id. */
	linkDelays: z.record(z.string(), z.number()).optional(),
	/** Factor on the time of each batch. */
	slowness: z.number().optional(),
	isLeaving: z.boolean().optional(),
	/** Whether orders with an old fencing number are taken. */
	ignoreFencing: z.boolean().optional(),
});

const orderSchema = z.object({
	model: z.string(), version: z.string(), firstLayer: z.number(), endLayer: z.number(), fencing: z.number(),
});

const failureSchema = z.object({request: z.string(), number: z.number(), server: z.string()});

type StageFailure = z.infer<typeof failureSchema>;

const unreadLimitMs = 3000;
const loadDurationMs = 300;
const connectionFaultDelayMs = 20;
const timerSlackMs = 4;
const mostSessions = 5000;

/** A model engine without a model: it holds a layer range, batches continuously, and checks all that reaches it. */
export class EngineStandIn {
	private readonly server: JsonServer;
	private readonly links: EngineLinks;
	private readonly cache: EngineCache;
	private readonly sessions = new Map<string, Session>();
	private queue: Work[] = [];
	private isBusy = false;
	private busyUntil = 0;
	private slowness = 1;
	private isLeaving = false;
	private leavingSince = 0;
	private highestFencing = 0;
	private report = {running: 0, queued: 0};
	private readonly violations: string[] = [];
	private readonly lateStarts: number[] = [];
	private readonly traces: string[] = [];
	private readonly counts = {
		attempts: 0, cancelled: 0, tokens: 0, prefilled: 0, skipped: 0,
	};

	constructor(private settings: EngineSettings, private readonly timers: TimerService) {
		this.links = new EngineLinks(timers, settings.links);
		this.cache = new EngineCache(settings.cache);
		this.server = new JsonServer({
			'POST /attempts': request => this.start(request),
			'POST /attempts/attach': request => this.attach(request),
			'POST /attempts/cancel': request => this.cancel(request),
			'POST /attempts/failed': ({body}) => this.failed(failureSchema.parse(body)),
			'GET /attempts': request => this.status(request),
			'POST /stages/work': request => this.receive(request),
			'POST /cache/positions': ({body}) => this.positions(body),
			'POST /cache/export': async ({body}) => this.exportCache(body),
			'POST /cache/import': ({body}) => this.importCache(body),
			'GET /load': () => this.load(),
			'POST /orders': ({body}) => this.order(body),
			'GET /state': () => this.state(),
			'POST /control/faults': ({body}) => this.fault(body),
			'GET /control/checks': () => ({
				violations: this.violations, lateStarts: this.lateStarts, counts: this.counts, traces: this.traces,
			}),
		});
	}

	/** Listens and resolves to the port. */
	async listen(): Promise<number> {
		this.timers.repeat(this.settings.reportLag, () => {
			this.report = {running: this.runningCount(), queued: this.queue.length};
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

	private runningCount(): number {
		let running = 0;
		for (const session of this.sessions.values()) {
			running += session.isFinished || session.isCancelled ? 0 : 1;
		}

		return running;
	}

	private sessionOf(attempt: {readonly request: string; readonly number: number}): Session {
		const key = attemptKey(attempt);
		let session = this.sessions.get(key);
		if (!session) {
			session = newSession();
			this.sessions.set(key, session);
			this.forgetOld();
		}

		return session;
	}

	private forgetOld(): void {
		for (const [key, session] of this.sessions) {
			if (this.sessions.size <= mostSessions) {
				return;
			}

			if (session.isFinished || session.isCancelled) {
				this.sessions.delete(key);
			}
		}
	}

	private start({body, response, headers}: JsonRequest): unknown {
		const attempt = attemptSchema.parse(body);
		this.counts.attempts++;
		this.traces.push(String(headers.traceparent ?? ''));
		if (this.isLeaving) {
			this.lateStarts.push(this.timers.now() - this.leavingSince);
		}

		const session = this.sessionOf(attempt);
		session.firstIndex = attempt.generated.length;
		this.open(session, response, attempt);
		void this.begin(attempt);
		return undefined;
	}

	/** Asks all stages what they have in their caches, and starts the first one. */
	private async begin(attempt: StandInAttempt): Promise<void> {
		const cached = await Promise.all(attempt.route.map(async stage => this.cachedAt(stage, attempt)));
		const end = positionsOf(attempt);
		// A stage must run again what any later stage lacks, since that one needs its output.
		const starts = cached.map((_, index) => Math.min(end - 1, ...cached.slice(index)));
		this.hand({
			attempt, stage: 0, index: attempt.generated.length, starts, end, layer: 0, state: 1, receipts: [],
		});
	}

	private async cachedAt(stage: Stage, attempt: StandInAttempt): Promise<number> {
		const answer = await this.links.post(stage.address, '/cache/positions', {request: attempt.request, prompt: attempt.prompt});
		if (answer === undefined) {
			this.reportFailure(attempt, stage.server);
			return 0;
		}

		return z.object({positions: z.number()}).parse(JSON.parse(answer)).positions;
	}

	private attach({body, response}: JsonRequest): unknown {
		const {request, number, from} = z.object({request: z.string(), number: z.number(), from: z.number()}).parse(body);
		const session = this.sessions.get(attemptKey({request, number}));
		if (!session || session.isCancelled) {
			response.end('{"error":"the attempt is not known"}\n');
			return undefined;
		}

		this.open(session, response, {request, number});
		response.write(session.lines.slice(Math.max(0, from - session.firstIndex)).join(''));
		if (session.isFinished) {
			response.end();
		}

		return undefined;
	}

	private open(session: Session, response: ServerResponse, attempt: {readonly request: string; readonly number: number}): void {
		session.response = response;
		response.writeHead(200, {'content-type': 'application/x-ndjson'});
		response.flushHeaders();
		response.on('close', () => {
			// Nobody reads: the attempt is given up unless a new connection comes.
			this.timers.after(unreadLimitMs, () => {
				if (session.response === response && !session.isFinished) {
					this.stop(attempt);
				}
			});
		});
	}

	private cancel({body}: JsonRequest): unknown {
		this.stop(z.object({request: z.string(), number: z.number()}).parse(body));
		return {};
	}

	private stop(attempt: {readonly request: string; readonly number: number}): void {
		const session = this.sessionOf(attempt);
		if (!session.isCancelled && !session.isFinished) {
			this.counts.cancelled++;
		}

		session.isCancelled = true;
		this.queue = this.queue.filter(work => attemptKey(work.attempt) !== attemptKey(attempt));
		session.response?.end();
	}

	/** A stage could not reach another: the router is told over the answer stream. */
	private failed(failure: StageFailure): unknown {
		const {request, number, server} = failure;
		const session = this.sessions.get(attemptKey({request, number}));
		if (session && !session.isCancelled && !session.isFinished) {
			session.response?.write(`${JSON.stringify({error: `the stage ${server} cannot be reached`, server})}\n`);
		}

		return {};
	}

	private reportFailure(attempt: StandInAttempt, server: string): void {
		const last = attempt.route.at(-1)!;
		const body = {request: attempt.request, number: attempt.number, server};
		if (last.server === this.settings.id) {
			this.failed(body);
		} else {
			void this.links.post(last.address, '/attempts/failed', body);
		}
	}

	private status({path}: JsonRequest): unknown {
		const session = this.sessions.get(`${path[1]}/${path[2]}`);
		return {
			isKnown: session !== undefined && !session.isCancelled,
			received: session?.received ?? 0,
			forwarded: session?.forwarded ?? 0,
			emitted: session ? session.firstIndex + session.lines.length : 0,
		};
	}

	private receive({body}: JsonRequest): unknown {
		for (const work of z.array(workSchema).parse(body)) {
			this.enqueue(work);
		}

		return {};
	}

	private enqueue(work: Work): void {
		const session = this.sessionOf(work.attempt);
		session.received++;
		if (session.isCancelled) {
			return;
		}

		this.queue.push(work);
		this.runBatch();
	}

	private runBatch(): void {
		if (this.isBusy || this.queue.length === 0) {
			return;
		}

		this.isBusy = true;
		this.queue.sort((a, b) => priorities.indexOf(a.attempt.priority) - priorities.indexOf(b.attempt.priority));
		const batch = this.queue.splice(0, this.settings.batch);
		const {step, decode, prefill} = this.settings;
		let duration = step;
		for (const work of batch) {
			const positions = work.end - work.starts[work.stage];
			duration += positions === 1 ? decode : positions * prefill;
			this.counts.prefilled += positions === 1 ? 0 : positions;
		}

		// Timers are coarse: the end of a batch counts from when the one before should have ended.
		const now = this.timers.now();
		const isContinuous = now - this.busyUntil < timerSlackMs;
		this.busyUntil = (isContinuous ? this.busyUntil : now) + (duration * this.slowness);
		this.timers.after(Math.max(0, this.busyUntil - now), () => {
			this.isBusy = false;
			this.finishBatch(batch);
			this.runBatch();
		});
	}

	private finishBatch(batch: readonly Work[]): void {
		const outgoing = new Map<string, {stage: Stage; works: Work[]}>();
		for (const work of batch) {
			const session = this.sessionOf(work.attempt);
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
	private advance(work: Work, session: Session): Work | undefined {
		const {id, firstLayer, endLayer, version} = this.settings;
		const stage = work.attempt.route[work.stage];
		this.check(work, session, stage);
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

	private check(work: Work, session: Session, stage: Stage): void {
		const {id, firstLayer, version} = this.settings;
		const place = `request ${work.attempt.request} attempt ${work.attempt.number} token ${work.index}`;
		if (stage.server !== id) {
			this.violate(`${place} is for ${stage.server}`);
		}

		if (work.layer !== firstLayer) {
			this.violate(`${place} comes with layer ${work.layer}, but the range begins at ${firstLayer}`);
		}

		if (stage.version !== version) {
			// A version that changed under way: the receipt tells the router.
			return;
		}

		if (session.nextPosition >= 0 && session.nextPosition !== work.starts[work.stage]) {
			this.violate(`${place} runs position ${work.starts[work.stage]} where ${session.nextPosition} comes next`);
		}
	}

	/** Sends a token to the router; returns the work for the next one. */
	private emit(work: Work, session: Session): Work | undefined {
		const {attempt, index, receipts, state} = work;
		if (state !== runLayers(1, 0, this.settings.layers)) {
			this.violate(`request ${attempt.request} token ${index} went through other layers than 0 to ${this.settings.layers}`);
		}

		const length = Math.min(lengthOf(attempt.prompt), attempt.maximumTokens);
		const isLast = index + 1 >= length;
		const finish = isLast ? (lengthOf(attempt.prompt) <= attempt.maximumTokens ? FinishReason.Stop : FinishReason.Length) : undefined;
		const line = `${JSON.stringify({
			a: attempt.number,
			i: index,
			x: tokenAt(attempt.prompt, index),
			r: receipts.map(({stage, firstLayer, endLayer, version}) => [stage, firstLayer, endLayer, version]),
			f: finish,
		})}\n`;
		this.counts.tokens++;
		session.lines.push(line);
		session.response?.write(line);
		if (isLast) {
			session.isFinished = true;
			session.response?.end();
			this.finishOthers(attempt);
			return undefined;
		}

		return {
			...work,
			stage: 0,
			index: index + 1,
			starts: attempt.route.map(() => work.end),
			end: work.end + 1,
			layer: 0,
			state: 1,
			receipts: [],
		};
	}

	/** Tells the other stages that an attempt is whole. */
	private finishOthers(attempt: StandInAttempt): void {
		for (const stage of attempt.route.slice(0, -1)) {
			void this.links.post(stage.address, '/attempts/cancel', {request: attempt.request, number: attempt.number});
		}
	}

	private hand(work: Work): void {
		this.handAll(work.attempt.route[work.stage], [work]);
	}

	private handAll(stage: Stage, works: readonly Work[]): void {
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

	private positions(body: unknown): unknown {
		const {request, prompt} = z.object({request: z.string(), prompt: z.string()}).parse(body);
		return {positions: this.cache.positionsOf(request, prompt)};
	}

	private async exportCache(body: unknown): Promise<unknown> {
		const {request, to} = z.object({request: z.string(), to: z.string()}).parse(body);
		const positions = this.cache.positionsOf(request, '');
		await this.links.post(to, '/cache/import', {request, positions});
		return {positions};
	}

	private importCache(body: unknown): unknown {
		const {request, positions} = z.object({request: z.string(), positions: z.number()}).parse(body);
		this.cache.put(request, '', positions);
		return {positions};
	}

	private load(): unknown {
		return {
			...this.report, tokenRate: this.settings.tokenRate / this.slowness, isLeaving: this.isLeaving, links: this.settings.links, version: this.settings.version,
		};
	}

	private order(body: unknown): unknown {
		const order = orderSchema.parse(body);
		if (this.settings.checksOrders && order.fencing < this.highestFencing) {
			return new StatusAnswer(409, {message: `fencing number ${order.fencing} is below ${this.highestFencing}`});
		}

		this.highestFencing = Math.max(this.highestFencing, order.fencing);
		this.timers.after(loadDurationMs, () => {
			this.settings = {
				...this.settings, model: order.model, version: order.version, firstLayer: order.firstLayer, endLayer: order.endLayer,
			};
		});
		return {};
	}

	private state(): unknown {
		const {model, version, firstLayer, endLayer} = this.settings;
		return {
			model, version, firstLayer, endLayer, fencing: this.highestFencing,
		};
	}

	private fault(body: unknown): unknown {
		const faults = faultsSchema.parse(body);
		this.slowness = faults.slowness ?? this.slowness;
		if (faults.linkDelays) {
			this.links.setDelays(faults.linkDelays);
		}

		if (faults.ignoreFencing !== undefined) {
			this.settings = {...this.settings, checksOrders: !faults.ignoreFencing};
		}

		if (faults.isLeaving !== undefined) {
			this.isLeaving = faults.isLeaving;
			this.leavingSince = this.timers.now();
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
