import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';
import {type ServerHealthTracker} from '../pipelines/server-health-tracker.js';
import {type ServerSlowdowns} from '../pipelines/server-slowdowns.js';
import {type ServerDirectory} from '../pipelines/server-directory.js';
import {type DecisionLog} from '../observation/decision-log.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {Health, type StageReporter} from '../pipelines/stage-reporter.js';
import {type ExchangeRegistry} from './exchange-registry.js';
import {type StreamExchange} from './stream-exchange.js';

/** The parts of a stream monitor. */
export type StreamMonitorDependencies = {
	readonly exchanges: ExchangeRegistry;
	readonly reporter: StageReporter;
	readonly serverHealth: ServerHealthTracker;
	readonly serverSlowdowns: ServerSlowdowns;
	readonly directory: ServerDirectory;
	readonly timers: TimerService;
	readonly log: DecisionLog;
	/** Where the servers of a service tell of their health. */
	readonly getHealthPath: (service: string) => string;
	/** Called when a server seems to be down, so that others hear of it. */
	readonly onSuspicion: (server: BackendServer, isBlocking: boolean, reason: string) => void;
};

/** Bounds of watching streams; times in milliseconds. */
export type StreamMonitorTimings = {
	readonly period: number;
	/** Rejections one after the other, after which a server is asked whether it is well. */
	readonly rejections: number;
	/** Between two questions whether a server is well. */
	readonly healthPause: number;
	/** Silence after which the stages are asked how slow they are. */
	readonly slowness: number;
	/** Between two questions to one stage how slow it is. */
	readonly slownessPause: number;
	/** Silence after which the first stage is asked what its requests wait for. */
	readonly inquiry: number;
	/** Silence after which a stream moves, whatever its first stage says. */
	readonly silence: number;
	/** Between two questions to one server. */
	readonly pause: number;
};

/** A pace from which on a line is logged. */
const notablePace = 1.5;

/**
Watches streams for silence. The first stage of a silent stream is asked which stage its requests wait for; the streams through that stage move to other pipelines.
*/
export class StreamMonitor {
	private readonly paceAskedAt = new Map<string, number>();
	private readonly healthAskedAt = new Map<string, number>();
	private readonly askedAt = new Map<string, number>();

	constructor(private readonly parts: StreamMonitorDependencies, private readonly times: StreamMonitorTimings) {}

	/** Begins to watch. */
	start(): void {
		this.parts.timers.repeat(this.times.period, () => {
			this.check();
		});
	}

	/** A server rejected requests one after the other: it may be leaving while the list cannot be read. */
	recordRejections(server: BackendServer, rejections: number): void {
		const {timers, getHealthPath: healthPathOf} = this.parts;
		const life = getIncarnationId(server);
		const isDue = timers.now() - (this.healthAskedAt.get(life) ?? Number.NEGATIVE_INFINITY) >= this.times.healthPause;
		if (rejections >= this.times.rejections && isDue) {
			this.healthAskedAt.set(life, timers.now());
			void this.askHealth(server, healthPathOf(server.service));
		}
	}

	/** A server is thought to be down: its streams move. */
	migrateStreamsFrom(server: BackendServer, reason: string): void {
		const life = getIncarnationId(server);
		for (const exchange of this.parts.exchanges.streams) {
			if (exchange.stages?.some(stage => getIncarnationId(stage.server) === life)) {
				exchange.migrate(server, reason);
			}
		}
	}

	private check(): void {
		const now = this.parts.timers.now();
		const silentFirst = new Map<string, BackendServer>();
		for (const exchange of this.parts.exchanges.streams) {
			const silence = exchange.computeSilence(now);
			const first = exchange.stages?.[0].server;
			if (first && silence >= this.times.slowness) {
				this.askPaces(exchange, now);
			}

			if (!first || silence < this.times.inquiry) {
				continue;
			}

			if (silence >= this.times.silence) {
				exchange.migrate(undefined, `no event for ${Math.round(silence)} ms`);
			} else {
				silentFirst.set(getIncarnationId(first), first);
			}
		}

		for (const [life, server] of silentFirst) {
			if (now - (this.askedAt.get(life) ?? Number.NEGATIVE_INFINITY) >= this.times.pause) {
				this.askedAt.set(life, now);
				void this.ask(server);
			}
		}
	}

	private askPaces(exchange: StreamExchange, now: number): void {
		for (const {server} of exchange.stages ?? []) {
			const life = getIncarnationId(server);
			if (now - (this.paceAskedAt.get(life) ?? Number.NEGATIVE_INFINITY) >= this.times.slownessPause) {
				this.paceAskedAt.set(life, now);
				void this.askPace(server);
			}
		}
	}

	private async askHealth(server: BackendServer, path: string): Promise<void> {
		try {
			const health = await this.parts.reporter.checkHealth(server, path);
			this.parts.log.write('server.health', {server: server.id, health});
			if (health === Health.Bad) {
				this.suspect(server, true, 'it rejects requests and says that it fails or is leaving', false);
			}
		} catch (error) {
			this.suspect(server, false, `it rejects requests and does not answer: ${getErrorMessage(error)}`);
		}
	}

	private async askPace(server: BackendServer): Promise<void> {
		const {reporter, serverSlowdowns: paces, timers, log} = this.parts;
		try {
			const {slowdownFactor: pace} = await reporter.fetchReport(server);
			paces.record(server, pace, timers.now());
			if (pace >= notablePace) {
				log.write('server.slow', {server: server.id, pace});
			}
		} catch (error) {
			log.write('server.no_pace', {server: server.id, reason: getErrorMessage(error)});
		}
	}

	private async ask(server: BackendServer): Promise<void> {
		const {reporter, directory, log} = this.parts;
		try {
			const {blockedRequests: blocked, slowdownFactor: pace} = await reporter.fetchReport(server);
			log.write('stage.asked', {server: server.id, blocked: blocked.size, pace});
			for (const address of new Set(blocked.values())) {
				const faulty = directory.findByAddress(address);
				if (faulty) {
					this.suspect(faulty, true, `${server.id} waits for it`);
				}
			}
		} catch (error) {
			this.suspect(server, false, `it does not answer: ${getErrorMessage(error)}`);
		}
	}

	private suspect(server: BackendServer, isBlocking: boolean, reason: string, isEnded = true): void {
		const {serverHealth: beliefs, timers, onSuspicion} = this.parts;
		if (beliefs.suspect(server, reason, timers.now(), isEnded)) {
			onSuspicion(server, isBlocking, reason);
		}

		this.migrateStreamsFrom(server, reason);
	}
}
