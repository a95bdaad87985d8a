import {type Backpressure} from '../../backpressure/backpressure.js';
import {getIncarnationId, type BackendServer} from '../../pipelines/backend-server.js';
import {type ServerHealthTracker} from '../../pipelines/server-health-tracker.js';
import {type ServerDirectory} from '../../pipelines/server-directory.js';
import {QueryReason} from '../../pipelines/query-reason.js';
import {SuspicionCause} from '../../pipelines/suspicion-cause.js';
import {type DecisionLog} from '../../observation/decision-log.js';
import {type Metrics} from '../../observation/metrics.js';
import {getErrorMessage} from '../../results/to-failure.js';
import {type TimerService} from '../../time/timer-service.js';
import {Health, type StageReporter} from '../../pipelines/stage-reporter.js';
import {getConnectionCause} from '../connection-cause.js';
import {type ExchangeRegistry} from '../exchange-registry.js';
import {type SlowdownPoller} from './slowdown-poller.js';
import {type StreamExchange} from './stream-exchange.js';

/** Dependencies of a stream monitor. */
export type StreamMonitorDependencies = {
	readonly exchanges: ExchangeRegistry;
	readonly reporter: StageReporter;
	readonly serverHealth: ServerHealthTracker;
	readonly backpressure: Backpressure;
	readonly slowdownPoller: Pick<SlowdownPoller, 'pollStages'>;
	readonly directory: ServerDirectory;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
	/** Returns the path of the health check of a service's servers. */
	readonly getHealthPath: (service: string) => string;
	/** Whether this instance's own path to a server is known to be broken, so that it reaches the server through others. */
	readonly isPathBroken: (server: BackendServer) => boolean;
	/** Whether that path is broken in such a way that open connections are dead as well. */
	readonly isPathSilent: (server: BackendServer) => boolean;
	/** Finds out whether the own path to a server is broken. */
	readonly checkPath: (server: BackendServer) => Promise<boolean>;
	/** Called when a server becomes suspected to be down, to notify the other instances. */
	readonly onSuspicion: (server: BackendServer, isBlocking: boolean, reason: string) => void;
};

/** Intervals and thresholds of stream monitoring; times in milliseconds. */
export type StreamMonitorTimings = {
	/** Between two checks of all streams. */
	readonly checkInterval: number;
	/** Consecutive rejections after which the health of a server is checked. */
	readonly rejectionThreshold: number;
	/** Minimum interval between two health checks of a server. */
	readonly healthCheckInterval: number;
	/** Silence after which the slowdown factors of all stages are queried, and after which a stream with a suspected stage is hedged. */
	readonly slownessThreshold: number;
	/** Silence after which the first stage is asked which stages its requests wait for. */
	readonly blockedQueryThreshold: number;
	/** Silence after which a stream is hedged, whatever its first stage reports. */
	readonly silenceTimeout: number;
	/** Minimum interval between two queries of one first stage. */
	readonly blockedQueryInterval: number;
};

/**
Monitors streams for silence. The first stage of a silent stream is asked which stage its requests wait for; all silent streams through that stage are then hedged: sent along other pipelines as well.
*/
export class StreamMonitor {
	private readonly healthCheckedAt = new Map<string, number>();
	private readonly blockedQueriedAt = new Map<string, number>();

	constructor(private readonly dependencies: StreamMonitorDependencies, private readonly timings: StreamMonitorTimings) {}

	/** Starts monitoring. */
	start(): void {
		this.dependencies.timers.repeat(this.timings.checkInterval, () => {
			this.checkStreams();
		});
	}

	/** Queries a server that lost attempts or is silent, so that it is suspected if it has ended; returns false if it must not be queried yet. */
	checkServer(server: BackendServer): boolean {
		if (server.card === '') {
			return this.checkPlainServer(server);
		}

		const now = this.dependencies.timers.now();
		const incarnationId = getIncarnationId(server);
		const isDue = now - (this.blockedQueriedAt.get(incarnationId) ?? Number.NEGATIVE_INFINITY) >= this.timings.blockedQueryInterval;
		if (!isDue || !this.mayQuery(server)) {
			return false;
		}

		this.blockedQueriedAt.set(incarnationId, now);
		void this.queryBlockedRequests(server);
		return true;
	}

	/** Records consecutive rejections of a server. After several, its health is checked, since it may be leaving while the server list can't be read. */
	recordRejections(server: BackendServer, rejections: number): void {
		if (rejections >= this.timings.rejectionThreshold && this.tryBeginHealthCheck(server)) {
			void this.checkHealth(server);
		}
	}

	/** Hedges the silent streams that use a server, because it is suspected. Streams that receive events show that it works for them. */
	hedgeStreamsThrough(server: BackendServer, reason: string): void {
		const incarnationId = getIncarnationId(server);
		const now = this.dependencies.timers.now();
		for (const exchange of this.dependencies.exchanges.streams) {
			const usesServer = exchange.stages?.some(stage => getIncarnationId(stage.server) === incarnationId);
			if (usesServer && exchange.computeSilence(now) >= this.timings.slownessThreshold) {
				exchange.hedge(server, reason);
			}
		}
	}

	/** Checks whether a plain server, which reports no state, still accepts connections. */
	private checkPlainServer(server: BackendServer): boolean {
		const isDue = this.tryBeginHealthCheck(server);
		if (isDue) {
			void this.checkAcceptsConnections(server);
		}

		return isDue;
	}

	/** Whether a health check of a server is due; from then on none is for a while. */
	private tryBeginHealthCheck(server: BackendServer): boolean {
		const now = this.dependencies.timers.now();
		const incarnationId = getIncarnationId(server);
		const isDue = now - (this.healthCheckedAt.get(incarnationId) ?? Number.NEGATIVE_INFINITY) >= this.timings.healthCheckInterval;
		if (!isDue || !this.mayQuery(server)) {
			return false;
		}

		this.healthCheckedAt.set(incarnationId, now);
		return true;
	}

	private checkStreams(): void {
		const now = this.dependencies.timers.now();
		const silentFirstStages = new Map<string, BackendServer>();
		for (const exchange of this.dependencies.exchanges.streams) {
			const silence = exchange.computeSilence(now);
			const firstServer = exchange.stages?.[0].server;
			if (!firstServer || silence < this.timings.slownessThreshold) {
				continue;
			}

			this.dependencies.slowdownPoller.pollStages(exchange.stages);
			if (silence >= this.timings.blockedQueryThreshold) {
				silentFirstStages.set(getIncarnationId(firstServer), firstServer);
			}

			if (exchange.usesOwnPath && this.dependencies.isPathSilent(firstServer)) {
				exchange.reconnect(`no event for ${Math.round(silence)} ms, and the path to ${firstServer.id} is broken`);
			} else {
				this.hedgeSilentStream(exchange, silence, now);
			}
		}

		for (const server of silentFirstStages.values()) {
			this.checkServer(server);
		}
	}

	/** Hedges a silent stream that has a suspected stage or has been silent for long. */
	private hedgeSilentStream(exchange: StreamExchange, silence: number, now: number): void {
		const suspected = exchange.stages!.find(({server}) => this.dependencies.serverHealth.isSuspected(server, now));
		if (suspected) {
			exchange.hedge(suspected.server, `${suspected.server.id} is suspected, and no event arrived for ${Math.round(silence)} ms`);
		} else if (silence >= this.timings.silenceTimeout) {
			exchange.hedge(undefined, `no event for ${Math.round(silence)} ms`);
		}
	}

	/** Whether the server may be asked for its health or state; it may not while it wants no requests. */
	private mayQuery(server: BackendServer): boolean {
		return !this.dependencies.backpressure.pauses.isPaused(server, this.dependencies.timers.now());
	}

	private countQuery(reason: QueryReason): void {
		this.dependencies.metrics.count('siskinnotch_server_queries', 1, {reason});
	}

	private async checkAcceptsConnections(server: BackendServer): Promise<void> {
		const {reporter, getHealthPath, log} = this.dependencies;
		this.countQuery(QueryReason.LostRequests);
		try {
			const health = await reporter.checkHealth(server, getHealthPath(server.service));
			log.write('server.health', {server: server.id, health});
		} catch (error) {
			log.write('server.no_health', {server: server.id, reason: getErrorMessage(error)});
			if (getConnectionCause(error) === SuspicionCause.Refusing) {
				await this.suspectSilent(server, error, 'it lost a connection and accepts no other');
			}
		}
	}

	private async checkHealth(server: BackendServer): Promise<void> {
		const {reporter, getHealthPath, log} = this.dependencies;
		this.countQuery(QueryReason.Rejections);
		try {
			const health = await reporter.checkHealth(server, getHealthPath(server.service));
			log.write('server.health', {server: server.id, health});
			if (health === Health.Bad) {
				this.suspect(server, {cause: SuspicionCause.Failing, isBlocking: true, reason: 'it rejects requests and reports that it is failing or leaving'});
			}
		} catch (error) {
			await this.suspectSilent(server, error, 'it rejects requests and its health check failed');
		}
	}

	private async queryBlockedRequests(server: BackendServer): Promise<void> {
		const {reporter, directory, serverHealth, timers, log} = this.dependencies;
		this.countQuery(QueryReason.Silence);
		const askedAt = timers.now();
		try {
			const {blockedRequests, slowdownFactor, startedAt} = await reporter.fetchReport(server);
			serverHealth.recordReport(server, startedAt, askedAt);
			log.write('stage.asked', {server: server.id, blocked: blockedRequests.size, pace: slowdownFactor});
			for (const address of new Set(blockedRequests.values())) {
				const faulty = directory.findByAddress(address);
				if (faulty) {
					this.suspect(faulty, {cause: SuspicionCause.Unresponsive, isBlocking: true, reason: `${server.id} waits for it`});
				}
			}
		} catch (error) {
			await this.suspectSilent(server, error, 'it does not respond');
		}
	}

	/** Suspects a server whose query failed with an error, unless the own path to it is at fault. */
	private async suspectSilent(server: BackendServer, error: unknown, finding: string): Promise<void> {
		const cause = getConnectionCause(error);
		// A query that went through another instance says nothing about the own path.
		const isOwnPath = cause === undefined && !this.dependencies.isPathBroken(server);
		if (isOwnPath && await this.dependencies.checkPath(server)) {
			this.dependencies.log.write('server.unreached', {server: server.id, reason: getErrorMessage(error)});
			return;
		}

		this.suspect(server, {cause: cause ?? SuspicionCause.Unresponsive, isBlocking: false, reason: `${finding}: ${getErrorMessage(error)}`});
	}

	private suspect(server: BackendServer, {cause, isBlocking, reason}: {cause: SuspicionCause; isBlocking: boolean; reason: string}): void {
		const {serverHealth, timers, onSuspicion} = this.dependencies;
		// Others may reach a server whose state nobody could tell.
		if (serverHealth.suspect(server, reason, timers.now(), cause) && cause !== SuspicionCause.Unverified) {
			onSuspicion(server, isBlocking, reason);
		}

		this.hedgeStreamsThrough(server, reason);
	}
}
