import {randomUUID} from 'node:crypto';
import {type Logger} from 'winston';
import {RetryBudget} from './admission/retry-budget.js';
import {CatalogWatcher} from './catalog/catalog-watcher.js';
import {ActiveCatalog} from './catalog/active-catalog.js';
import {type CatalogSource} from './catalog/catalog-source.js';
import {EntryServer} from './entry/entry-server.js';
import {InstanceRegistry} from './entry/instance-registry.js';
import {RequestAuthorizer} from './entry/request-authorizer.js';
import {Router} from './entry/router.js';
import {StatusServer} from './entry/status-server.js';
import {Lease} from './leases/lease.js';
import {LeaseManager} from './leases/lease-manager.js';
import {Lifecycle} from './lifecycle.js';
import {type DecisionLog} from './observation/decision-log.js';
import {partLog} from './observation/log.js';
import {Metrics} from './observation/metrics.js';
import {getIncarnationId, type BackendServer} from './pipelines/backend-server.js';
import {InterzoneBandwidthBudget} from './pipelines/interzone-bandwidth-budget.js';
import {PipelineSelector} from './pipelines/pipeline-selector.js';
import {PlainServerSelector} from './pipelines/plain-server-selector.js';
import {ServerHealthTracker} from './pipelines/server-health-tracker.js';
import {ServerDirectory} from './pipelines/server-directory.js';
import {ServerListWatcher} from './pipelines/server-list-watcher.js';
import {type ServerList} from './pipelines/server-list.js';
import {ServerSlowdowns} from './pipelines/server-slowdowns.js';
import {ServerLoad} from './pipelines/server-load.js';
import {type OrderSender} from './placement/order-sender.js';
import {PlacementController} from './placement/placement-controller.js';
import {GossipService} from './peers/gossip-service.js';
import {GossipClients} from './peers/gossip-clients.js';
import {PeerLoads} from './peers/peer-loads.js';
import {SuspicionQuorum} from './peers/suspicion-quorum.js';
import {BackendAgent} from './relay/backend-agent.js';
import {BackendClient} from './relay/backend-client.js';
import {type ExchangeCodec} from './relay/exchange-codec.js';
import {ExchangeRegistry} from './relay/exchange-registry.js';
import {type ExchangeDependencies} from './relay/exchange-dependencies.js';
import {type StageReporter} from './pipelines/stage-reporter.js';
import {StreamMonitor} from './relay/stream-monitor.js';
import {RequestQueue} from './relay/request-queue.js';
import {RandomSource} from './routing/random-source.js';
import {type RouterSettings} from './settings/router-settings.js';
import {type Table} from './store/table.js';
import {type TimerService} from './time/timer-service.js';

/** What a pipeline router needs of the platform that it runs on. */
export type RouterPorts = {
	readonly table: Table;
	readonly catalogs: CatalogSource;
	readonly servers: ServerList;
	readonly orders: OrderSender;
	readonly reports: StageReporter;
	readonly codec: ExchangeCodec;
	/** The path at which the balancer asks whether the instance is ready. */
	readonly readinessPath: string;
};

/** What the parts of a pipeline router share with the adapter of its platform. */
export type RouterBase = {
	readonly timers: TimerService;
	readonly log: DecisionLog;
	readonly logger: Logger;
	/** Log lines that were left out because their reader did not keep up. */
	readonly droppedLines: () => number;
};

const seedRange = 0x7F_FF_FF_FF;
const beliefTimes = {
	suspicion: 2000, longestSuspicion: 8000, fullness: 250, trialPause: 700,
};
const chooserWeights = {
	remoteZone: 0.4, crossing: 5, fullest: 1, crowding: 3, loadAge: 1500,
};
/** Retries in a window while it is not known how many instances share them. */
const allowanceWhileAlone = 5;
const allowanceShare = 0.7;
const pipeShare = 0.5;
const pipeBurstMs = 1000;
const waitingPeriodMs = 40;
const rejectionLimit = 6;
const onTimeShare = 0.75;
const patienceShare = 0.9;
const monitorTimes = {
	period: 100, rejections: 4, healthPause: 1500, slowness: 250, slownessPause: 1500, inquiry: 330, silence: 1300, pause: 300,
};
const registerTimes = {refresh: 10_000, period: 10_000, expiry: 25_000};
const paceExpiryMs = 3000;
const newsTimes = {period: 500, fanout: 12, staleness: 3200};
const newsExpiryMs = 2000;
const newsLimitMs = 400;
const accusationWindowMs = 2000;
const accusersNeeded = 2;
const plainPatience = 0.8;
const slowListMs = 400;

/** Builds the parts of a pipeline router. */
export function wireRouter(settings: RouterSettings, {timers, log, logger, droppedLines}: RouterBase, ports: RouterPorts): Router {
	const {instance, store, limits, placement: placementSettings} = settings;
	const metrics = new Metrics();
	const lifecycle = new Lifecycle();
	const random = new RandomSource(Math.floor(Math.random() * seedRange));
	const directory = new ServerDirectory(timers, log);
	const beliefs = new ServerHealthTracker(beliefTimes, log);
	const load = new ServerLoad();
	const paces = new ServerSlowdowns(paceExpiryMs);
	const catalog = new ActiveCatalog(log, timers);

	const budgets = new Map<string, RetryBudget>();
	const self = {id: instance.id, availabilityZone: instance.availability_zone, peers: instance.peers};
	const peerLoads = new PeerLoads(newsExpiryMs);
	const links = new GossipClients(timers, newsLimitMs);
	const members = new InstanceRegistry(
		self,
		{
			table: ports.table, timers, log, onChange() {
				links.retain(new Set(members.all().map(({peers}) => peers)));
				for (const budget of budgets.values()) {
					budget.setMinimum(ownAllowance());
				}
			},
		},
		registerTimes,
	);
	// A part of the allowance stays unused, so that it holds while instances are added.
	const ownAllowance = () => members.isInitialized ? limits.retry_allowance * allowanceShare / members.all().length : allowanceWhileAlone;
	const budgetOf = (service: string) => {
		const budget = budgets.get(service) ?? new RetryBudget(limits.retry_ratio, ownAllowance(), limits.retry_window);
		budgets.set(service, budget);
		return budget;
	};

	const client = new BackendClient({
		codec: ports.codec, agent: new BackendAgent(timers, limits.idle_connection), timers, connectTimeout: limits.connect,
	});
	const exchangeParts: ExchangeDependencies = {
		client, directory, serverHealth: beliefs, load, retryBudgets: {forService: budgetOf}, timers, metrics, log,
	};
	const onSuspicion = (server: BackendServer, isBlocking: boolean, reason: string) => {
		monitor.migrateStreamsFrom(server, reason);
		news.reportSuspicion(server, isBlocking, reason);
	};

	const waitingRoom = new RequestQueue(timers, {capacity: limits.queue_places, dispatchInterval: waitingPeriodMs});
	const desk = new ExchangeRegistry(
		exchangeParts,
		{
			selector: new PlainServerSelector(directory, beliefs, load, random),
			computeConnectionShare: connections => Math.max(1, Math.floor(connections / members.all().length)),
			limits: {maxBufferedBytes: limits.held_answer, responseTimeoutFraction: plainPatience},
		},
		{
			selector: new PipelineSelector({
				directory,
				serverHealth: beliefs,
				load,
				slowdowns: paces,
				availabilityZone: instance.availability_zone,
				interzoneBandwidth: new InterzoneBandwidthBudget(pipeShare, pipeBurstMs, () => members.all().length),
				getPeerTokens: (server, now) => peerLoads.getTokens(server, now),
			}, chooserWeights),
			requestQueue: waitingRoom,
			limits: {
				maxRejections: rejectionLimit, lateRejectionThreshold: limits.stall / 2, onTimeFraction: onTimeShare, maxQueueTime: limits.queue_wait, resumeWaitFraction: patienceShare, retryAfter: limits.come_back,
			},
			onSuspicion,
			onRejection(server, rejections) {
				monitor.recordRejections(server, rejections);
			},
		},
	);
	const monitor = new StreamMonitor({
		exchanges: desk, reporter: ports.reports,
		serverHealth: beliefs,
		serverSlowdowns: paces,
		directory,
		timers,
		log,
		getHealthPath: service => catalog.current?.catalog.services.get(service)?.healthPath ?? '/',
		onSuspicion,
	}, monitorTimes);

	const lease = new Lease(`${instance.id}/${randomUUID()}`, placementSettings.lease);
	const leaseKeeper = new LeaseManager('placement', lease, {table: ports.table, timers, log: partLog(logger, 'leases')});
	const news = new GossipService({
		self,
		instances: members,
		clients: links,
		peerLoads: peerLoads,
		suspicionQuorum: new SuspicionQuorum(accusationWindowMs, accusersNeeded),
		serverLoad: load,
		lease,
		directory,
		serverHealth: beliefs,
		catalog,
		timers,
		random,
		metrics,
		log,
		applyCatalog(text, from) {
			catalog.apply(ports.catalogs.decode(text), from);
		},
		onSuspicion(server, reason) {
			monitor.migrateStreamsFrom(server, reason);
		},
	}, newsTimes);

	const placement = new PlacementController({
		lease, catalog, directory, serverHealth: beliefs, reporter: ports.reports, sender: ports.orders, timers, metrics, log, onRangeConfirmed(server, range) {
			directory.overrideRange(getIncarnationId(server), range);
			news.reportRange(server, range);
		},
	}, {
		settlingTime: placementSettings.settle, reserveTime: placementSettings.spare, orderTimeout: placementSettings.order, checkInterval: placementSettings.check, refusalBackoff: placementSettings.refusal,
	}, placementSettings.room);

	const listFollower = new ServerListWatcher({
		list: ports.servers, directory, timers, metrics, log, onRead() {
			beliefs.retain(directory.all());
			load.retain(directory.all());
			paces.retain(directory.all());
			waitingRoom.dispatchReady();
		},
	}, {
		wait: store.list_wait, pauseAfterChange: store.list_pause, retryPause: store.retry_pause, recoveryGrace: store.return_grace, slowThreshold: slowListMs,
	});
	const catalogFollower = new CatalogWatcher({
		source: ports.catalogs, activeCatalog: catalog, timers, metrics, log,
	}, {longPollTimeout: store.configuration_wait, retryDelay: store.retry_pause});

	const entry = new EntryServer({
		gate: new RequestAuthorizer(catalog, random), codec: ports.codec, desk, lifecycle, timers, metrics, log,
	});
	const status = new StatusServer(ports.readinessPath, (): boolean => router.isReady, metrics);
	metrics.gauge('siskinnotch_log_lines_dropped', droppedLines);
	metrics.gauge('siskinnotch_exchanges', () => desk.size);
	metrics.gauge('siskinnotch_waiting', () => waitingRoom.size);
	metrics.gauge('siskinnotch_configuration_version', () => catalog.version);
	metrics.gauge('siskinnotch_list_age_ms', () => timers.now() - directory.lastReadAt);
	metrics.gauge('siskinnotch_peers_heard', () => peerLoads.countReporting(timers.now()));
	metrics.gauge('siskinnotch_servers', () => directory.all().length);
	metrics.gauge('siskinnotch_servers_suspected', () => beliefs.countSuspected(timers.now()));
	const router: Router = new Router(settings, {
		timers, log, metrics, lifecycle, entry, status, desk, monitor, catalog, catalogFollower, directory, listFollower, members, news, links, lease, leaseKeeper, placement,
	});
	return router;
}
