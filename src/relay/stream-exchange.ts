import {isRepeatable} from '../catalog/route.js';
import {lifeOf, type BackendServer} from '../pipelines/backend-server.js';
import {type EngineModel} from '../pipelines/engine-model.js';
import {type PipelineChooser} from '../pipelines/pipeline-chooser.js';
import {describePipeline, type Pipeline} from '../pipelines/pipeline.js';
import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {type Subscription} from '../time/subscription.js';
import {AttemptFailureReason, type AttemptFailure} from './attempt-failure.js';
import {type CallerReply} from './caller-reply.js';
import {EventSplitter} from './event-splitter.js';
import {type ExchangeParts} from './exchange-parts.js';
import {Exchange} from './exchange.js';
import {ReplyListener} from './reply-listener.js';
import {type RelayRequest} from './relay-request.js';
import {type Reply} from './reply.js';
import {type WaitingRoom} from './waiting-room.js';

/** The parts of stream exchanges beside those of all exchanges. */
export type StreamParts = {
	readonly chooser: PipelineChooser;
	readonly waitingRoom: WaitingRoom;
	readonly limits: StreamLimits;
	/** Called when a server seems to be down, so that others hear of it. */
	readonly onSuspicion: (server: BackendServer, isBlocking: boolean, reason: string) => void;
};

/** Limits of stream exchanges. */
export type StreamLimits = {
	/** Attempts that did not run, beyond the runs that the route allows. */
	readonly rejections: number;
	/** Milliseconds without an event after which a pipeline is given up. */
	readonly silence: number;
	/** Part of the latency target within which a request must be sent to be answered on time. */
	readonly onTimeShare: number;
	/** Milliseconds after which a refused caller may come back. */
	readonly comeBack: number;
};

const success = 200;
const firstFailure = 300;
const millisecondsOfSecond = 1000;

/**
A request to a service whose servers hold layer ranges: it goes along a pipeline, and events come back. Where a run breaks off, the stream goes on along another pipeline after the last event that the caller has.
*/
export class StreamExchange extends Exchange {
	private pipeline?: Pipeline;
	private endLoad?: () => void;
	private waiting?: Subscription;
	private readonly excluded = new Set<string>();
	private rejections = 0;
	/** Whether no earlier attempt ran on the first stage in use. */
	private isFirstOnServer = true;
	/** First stages on which it ran or runs, by life. */
	private readonly ranOn = new Map<string, BackendServer>();
	private head?: Reply;
	private splitter = new EventSplitter();
	private lastEventId?: number;
	private progressAt = 0;
	/** When the caller was last given an event; undefined before the first. */
	private passedAt?: number;
	private firstEventMs = 0;
	private longestPauseMs = 0;
	private eventsPassed = 0;

	constructor(parts: ExchangeParts, request: RelayRequest, reply: CallerReply, private readonly model: EngineModel, private readonly streams: StreamParts) {
		super(parts, request, reply);
		this.lastEventId = request.lastEventId;
	}

	/** The stages in use; undefined while it waits. */
	get stages(): Pipeline | undefined {
		return this.running && this.pipeline;
	}

	/** Milliseconds since the last event or the start of the attempt. */
	silenceAt(now: number): number {
		return this.running ? now - this.progressAt : 0;
	}

	/** Moves the stream to another pipeline, since a stage of its own does not work. */
	moveOff(faulty: BackendServer | undefined, reason: string): void {
		if (this.isDone || !this.running) {
			return;
		}

		this.running.cancel();
		if (faulty) {
			this.excluded.add(lifeOf(faulty));
		}

		this.endAttempt();
		this.runAgain(reason);
	}

	protected dispatch(): void {
		if (this.tryStart()) {
			return;
		}

		this.waiting = this.streams.waitingRoom.add({
			priority: this.request.priority,
			onTimeUntil: this.passedAt === undefined ? this.request.arrivedAt + (this.request.route.latencyTarget * this.streams.limits.onTimeShare) : Number.POSITIVE_INFINITY,
			tryStart: () => this.tryStart(),
			giveUp: () => {
				this.refuse(this.noRoom('no pipeline had room in time'));
			},
		});
		if (!this.waiting) {
			this.refuse(this.noRoom('too many requests wait for a pipeline'));
			return;
		}

		this.parts.log.write('request.waiting', {request: this.request.id, waiting: this.streams.waitingRoom.size, attempts: this.attempts});
	}

	protected expiry(): Failure {
		return this.ranOn.size === 0
			? this.noRoom('the time ran out before the request was sent')
			: new Failure(ResultCode.DeadlinePassed, `the stream was not whole within ${Math.round(this.request.deadline - this.request.arrivedAt)} ms`, Execution.Unknown);
	}

	protected release(): void {
		this.waiting?.cancel();
		this.waiting = undefined;
		this.endLoad?.();
		this.endLoad = undefined;
	}

	/** The head of an answer came. */
	receiveHead(reply: Reply): void {
		this.head = reply;
		if (reply.load) {
			this.parts.load.observe(this.pipeline![0].server, reply.load, this.parts.timers.now());
		}
	}

	/** A part of the answer came. */
	receiveData(chunk: Uint8Array): void {
		const {head} = this;
		if (head?.status !== success || !head.isSigned) {
			if (head && !head.isNotRun && !this.reply.isStarted && head.isSigned) {
				this.held.push(chunk);
			}

			return;
		}

		for (const event of this.splitter.push(chunk)) {
			this.progressAt = this.parts.timers.now();
			if (event.id !== undefined && this.lastEventId !== undefined && event.id <= this.lastEventId) {
				continue;
			}

			this.pass(event.bytes, head);
			this.lastEventId = event.id ?? this.lastEventId;
		}
	}

	/** The answer is whole. */
	receiveEnd(): void {
		const head = this.head!;
		const pipeline = this.pipeline!;
		this.endAttempt();
		if (head.isNotRun) {
			this.receiveRejection(head, pipeline);
			return;
		}

		if (head.status === success && head.isSigned) {
			if (this.splitter.hasRest || !this.reply.isStarted || !head.isFramed) {
				this.runAgain('the stream ended and may not be whole');
				return;
			}

			this.finishStream(head, pipeline);
			return;
		}

		this.receiveOtherStatus(head, pipeline);
	}

	/** No whole answer comes. */
	receiveFailure({reason, detail}: AttemptFailure): void {
		const [{server}] = this.pipeline!;
		this.endAttempt();
		if (reason === AttemptFailureReason.NotConnected) {
			this.noteNotRun(server);
			this.suspect(server, false, detail);
			this.reject(detail, server);
			return;
		}

		this.runAgain(detail);
	}

	private held: Uint8Array[] = [];

	private tryStart(): boolean {
		const {parts, request} = this;
		const now = parts.timers.now();
		// The caller's bound on the answer is far above what most answers need.
		const tokens = request.promptTokens + Math.min(request.answerTokens, this.model.usualAnswer);
		const pipeline = this.streams.chooser.choose({
			service: request.service.name, model: this.model, tokens, excluded: this.excluded, firstAmong: this.firstAmong(now),
		}, now);
		if (!pipeline) {
			return false;
		}

		this.send(pipeline, tokens, now);
		return true;
	}

	private send(pipeline: Pipeline, tokens: number, now: number): void {
		const {parts, request} = this;
		this.pipeline = pipeline;
		this.waiting = undefined;
		this.attempts++;
		this.isFirstOnServer = !this.ranOn.has(lifeOf(pipeline[0].server));
		this.ranOn.set(lifeOf(pipeline[0].server), pipeline[0].server);
		this.head = undefined;
		this.held = [];
		this.splitter = new EventSplitter();
		this.progressAt = now;
		this.endLoad = parts.load.start(pipeline, tokens);
		for (const {server} of pipeline) {
			parts.beliefs.countStart(server, now);
		}

		parts.log.write('request.sent', {
			request: request.id, pipeline: describePipeline(pipeline), tokens, attempt: this.attempts, afterEvent: this.lastEventId, remainingMs: Math.round(this.remaining), listAgeMs: Math.round(now - parts.directory.lastRead),
		});
		this.running = parts.client.send({
			request, server: pipeline[0].server, pipeline, remaining: this.remaining, lastEventId: this.lastEventId, needsNewConnection: !isRepeatable(request.route),
		}, new StreamListener(this));
	}

	private pass(bytes: Uint8Array, head: Reply): void {
		if (!this.reply.isStarted) {
			const {timers, beliefs} = this.parts;
			// A stream that loses its end is resumed, so its own framing tells the truth.
			this.reply.begin(head.status, head.headers, true);
			for (const {server} of this.pipeline!) {
				beliefs.clear(server, timers.now());
			}
		}

		this.notePause();
		this.eventsPassed++;
		if (!this.reply.write(bytes)) {
			this.running?.pause();
		}
	}

	/** Notes how long the caller waited for this event. */
	private notePause(): void {
		const now = this.parts.timers.now();
		if (this.passedAt === undefined) {
			this.firstEventMs = now - this.request.arrivedAt;
			this.parts.metrics.record('siskinnotch_first_event_ms', this.firstEventMs);
		} else {
			this.longestPauseMs = Math.max(this.longestPauseMs, now - this.passedAt);
		}

		this.passedAt = now;
	}

	private finishStream(head: Reply, pipeline: Pipeline): void {
		this.parts.log.write('request.answered', {
			request: this.request.id, status: head.status, pipeline: describePipeline(pipeline), events: this.eventsPassed, firstEventMs: Math.round(this.firstEventMs), longestPauseMs: Math.round(this.longestPauseMs), attempts: this.attempts, afterMs: Math.round(this.parts.timers.now() - this.request.arrivedAt),
		});
		this.parts.metrics.record('siskinnotch_longest_pause_ms', this.longestPauseMs);
		this.complete(head.status);
	}

	/** The attempt under way did not run on its first stage. */
	private noteNotRun(server: BackendServer): void {
		if (this.isFirstOnServer) {
			this.ranOn.delete(lifeOf(server));
		}
	}

	private receiveRejection(head: Reply, pipeline: Pipeline): void {
		this.noteNotRun(pipeline[0].server);
		const now = this.parts.timers.now();
		const named = head.faultyAddress === undefined ? undefined : pipeline.find(({server}) => server.address === head.faultyAddress)?.server;
		const server = named ?? pipeline[0].server;
		const tookMs = Math.round(now - this.progressAt);
		const reason = `${server.id} rejected it with ${head.status} after ${tookMs} ms`;
		if (tookMs >= this.streams.limits.silence) {
			this.suspect(server, named !== undefined, reason);
		} else {
			this.parts.beliefs.markFull(server, now);
		}

		this.reject(reason, server);
	}

	private receiveOtherStatus(head: Reply, pipeline: Pipeline): void {
		const reason = `${pipeline[0].server.id} answered ${head.status}`;
		if (this.reply.isStarted || (head.status < firstFailure && !head.isSigned)) {
			this.runAgain(reason);
			return;
		}

		if (this.mayRunAgain && this.ranOn.size < this.request.route.maxRuns) {
			this.runAgain(reason);
			return;
		}

		this.reply.begin(head.status, head.headers, head.isFramed);
		for (const chunk of this.held.splice(0)) {
			this.reply.write(chunk);
		}

		this.parts.log.warn('request.answered', {request: this.request.id, status: head.status, attempts: this.attempts});
		this.complete(head.status);
	}

	/** The attempt did not run: the next pipeline at once, within the budget. */
	private reject(reason: string, server: BackendServer): void {
		const {parts, request, streams} = this;
		this.rejections++;
		const isAllowed = this.rejections <= streams.limits.rejections && this.remaining > 0 && parts.budgets.of(request.service.name).take(parts.timers.now());
		parts.log.warn('request.rejected', {
			request: request.id, server: server.id, attempt: this.attempts, reason, isRepeated: isAllowed,
		});
		if (isAllowed) {
			this.dispatch();
			return;
		}

		this.refuse(this.noRoom(reason));
	}

	/** The attempt ran and broke off: the stream goes on along another pipeline where the route allows it. */
	private runAgain(reason: string): void {
		const isAllowed = this.mayRunAgain && this.parts.budgets.of(this.request.service.name).take(this.parts.timers.now());
		this.parts.log.warn('request.attempt_failed', {
			request: this.request.id, server: this.pipeline![0].server.id, attempt: this.attempts, reason, afterEvent: this.lastEventId, isRepeated: isAllowed,
		});
		if (isAllowed) {
			this.dispatch();
			return;
		}

		this.refuse(new Failure(ResultCode.StreamInterrupted, reason, Execution.Unknown));
	}

	private get mayRunAgain(): boolean {
		return isRepeatable(this.request.route) && this.remaining > 0;
	}

	/** The first stages to choose from when the route allows no further ones; those that ended do not count. */
	private firstAmong(now: number): ReadonlySet<string> | undefined {
		const {directory, beliefs} = this.parts;
		const living = [...this.ranOn].filter(([, server]) => directory.isListed(server) && !beliefs.isSuspected(server, now));
		return living.length < this.request.route.maxRuns ? undefined : new Set(living.map(([life]) => life));
	}

	private suspect(server: BackendServer, isBlocking: boolean, reason: string): void {
		if (this.parts.beliefs.suspect(server, reason, this.parts.timers.now())) {
			this.streams.onSuspicion(server, isBlocking, reason);
		}
	}

	private noRoom(reason: string): Failure {
		if (this.ranOn.size > 0) {
			return new Failure(ResultCode.StreamInterrupted, reason, Execution.Unknown);
		}

		return new Failure(ResultCode.NoPipeline, reason, Execution.NotRun, this.streams.limits.comeBack / millisecondsOfSecond);
	}

	private endAttempt(): void {
		this.running = undefined;
		this.endLoad?.();
		this.endLoad = undefined;
		this.streams.waitingRoom.admit();
	}
}

class StreamListener extends ReplyListener {
	constructor(private readonly exchange: StreamExchange) {
		super();
	}

	head(reply: Reply): void {
		this.exchange.receiveHead(reply);
	}

	data(chunk: Uint8Array): void {
		this.exchange.receiveData(chunk);
	}

	ended(): void {
		this.exchange.receiveEnd();
	}

	failed(failure: AttemptFailure): void {
		this.exchange.receiveFailure(failure);
	}
}
