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
	readonly onSuspicion: (server: BackendServer, reason: string) => void;
};

/** Limits of stream exchanges. */
export type StreamLimits = {
	/** Attempts that did not run, beyond the runs that the route allows. */
	readonly rejections: number;
	/** Milliseconds without an event after which a pipeline is given up. */
	readonly silence: number;
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
	/** Runs on servers that still live; those of servers that ended do not count against the route's limit. */
	private runs = 0;
	private head?: Reply;
	private splitter = new EventSplitter();
	private lastEventId?: number;
	private progressAt = 0;
	/** When the caller was last given an event; undefined before the first. */
	private passedAt?: number;
	private firstEventMs = 0;
	private longestPauseMs = 0;
	private eventsPassed = 0;
	/** Whether any attempt may have run. */
	private hasRun = false;

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
		this.runAgain(reason, faulty !== undefined);
	}

	protected dispatch(): void {
		if (this.tryStart()) {
			return;
		}

		this.waiting = this.streams.waitingRoom.add({
			priority: this.request.priority,
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
		return !this.hasRun && !this.running
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
			if (this.splitter.hasRest || !this.reply.isStarted) {
				this.runAgain('the stream ended within an event', false);
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
			this.runs--;
			this.suspect(server, detail);
			this.reject(detail, server);
			return;
		}

		this.runAgain(detail, false);
	}

	private held: Uint8Array[] = [];

	private tryStart(): boolean {
		const {parts, request} = this;
		const now = parts.timers.now();
		const tokens = request.promptTokens + request.answerTokens;
		const pipeline = this.streams.chooser.choose({
			service: request.service.name, model: this.model, tokens, excluded: this.excluded,
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
		this.runs++;
		this.head = undefined;
		this.held = [];
		this.splitter = new EventSplitter();
		this.progressAt = now;
		this.endLoad = parts.load.start(pipeline, tokens);
		for (const {server} of pipeline) {
			parts.beliefs.countStart(server, now);
		}

		parts.log.write('request.sent', {
			request: request.id, pipeline: describePipeline(pipeline), attempt: this.attempts, afterEvent: this.lastEventId, remainingMs: Math.round(this.remaining), listAgeMs: Math.round(now - parts.directory.lastRead),
		});
		this.running = parts.client.send({
			request, server: pipeline[0].server, pipeline, remaining: this.remaining, lastEventId: this.lastEventId, needsNewConnection: !isRepeatable(request.route),
		}, new StreamListener(this));
	}

	private pass(bytes: Uint8Array, head: Reply): void {
		if (!this.reply.isStarted) {
			const {timers, beliefs} = this.parts;
			this.reply.begin(head.status, head.headers);
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

	private receiveRejection(head: Reply, pipeline: Pipeline): void {
		this.runs--;
		const now = this.parts.timers.now();
		const named = head.faultyAddress === undefined ? undefined : pipeline.find(({server}) => server.address === head.faultyAddress)?.server;
		const server = named ?? pipeline[0].server;
		const tookMs = Math.round(now - this.progressAt);
		const reason = `${server.id} rejected it with ${head.status} after ${tookMs} ms`;
		if (tookMs >= this.streams.limits.silence) {
			this.suspect(server, reason);
		} else {
			this.parts.beliefs.markFull(server, now);
		}

		this.reject(reason, server);
	}

	private receiveOtherStatus(head: Reply, pipeline: Pipeline): void {
		const reason = `${pipeline[0].server.id} answered ${head.status}`;
		if (this.reply.isStarted || (head.status < firstFailure && !head.isSigned)) {
			this.runAgain(reason, false);
			return;
		}

		if (this.mayRunAgain(false)) {
			this.runAgain(reason, false);
			return;
		}

		this.reply.begin(head.status, head.headers);
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
	private runAgain(reason: string, didServerEnd: boolean): void {
		this.hasRun = true;
		if (didServerEnd) {
			this.runs--;
		}

		const isAllowed = this.mayRunAgain(didServerEnd) && this.parts.budgets.of(this.request.service.name).take(this.parts.timers.now());
		this.parts.log.warn('request.attempt_failed', {
			request: this.request.id, server: this.pipeline![0].server.id, attempt: this.attempts, reason, afterEvent: this.lastEventId, isRepeated: isAllowed,
		});
		if (isAllowed) {
			this.dispatch();
			return;
		}

		this.refuse(new Failure(ResultCode.StreamInterrupted, reason, Execution.Unknown));
	}

	private mayRunAgain(didServerEnd: boolean): boolean {
		const {route} = this.request;
		const isWithinRuns = this.runs < route.maxRuns || didServerEnd;
		return isRepeatable(route) && isWithinRuns && this.remaining > 0;
	}

	private suspect(server: BackendServer, reason: string): void {
		if (this.parts.beliefs.suspect(server, reason, this.parts.timers.now())) {
			this.streams.onSuspicion(server, reason);
		}
	}

	private noRoom(reason: string): Failure {
		if (this.hasRun) {
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
