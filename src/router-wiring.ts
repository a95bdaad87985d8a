import {randomUUID} from 'node:crypto';
import {wireAdmission, wireWaiting} from './admission-wiring.js';
import {type Backpressure} from './backpressure/backpressure.js';
import {ServerLimits} from './backpressure/server-limits.js';
import {ServerPauses} from './backpressure/server-pauses.js';
import {wireIntake} from './intake-wiring.js';
import {ActiveCatalog} from './catalog/active-catalog.js';
import {CatalogReader} from './catalog/catalog-reader.js';
import {wireControl} from './control-wiring.js';
import {EntryServer} from './entry/entry-server.js';
import {RequestAuthorizer} from './entry/request-authorizer.js';
import {Router} from './entry/router.js';
import {StatusServer} from './entry/status-server.js';
import {wireEstimates} from './estimates-wiring.js';
import {Lease} from './leases/lease.js';
import {Lifecycle} from './lifecycle.js';
import {CounterLog} from './observation/counter-log.js';
import {Metrics} from './observation/metrics.js';
import {type BackendServer} from './pipelines/backend-server.js';
import {InterzoneBandwidthBudget} from './pipelines/interzone-bandwidth-budget.js';
import {PlainServerSelector} from './pipelines/plain-server-selector.js';
import {ServerDirectory} from './pipelines/server-directory.js';
import {ServerHealthTracker} from './pipelines/server-health-tracker.js';
import {ServerListReader} from './pipelines/server-list-reader.js';
import {ServerLoad} from './pipelines/server-load.js';
import {ServerSlowdowns} from './pipelines/server-slowdowns.js';
import {GossipClients} from './peers/gossip-clients.js';
import {SelectionRequestHandler} from './peers/selection-request-handler.js';
import {QuarantineOrigin} from './quarantine/quarantine-origin.js';
import {wirePlacement} from './placement-wiring.js';
import {Quarantine} from './quarantine/quarantine.js';
import {wireCrashGuard} from './quarantine-wiring.js';
import {type PlatformAdapters, type RouterEnvironment} from './platform-adapters.js';
import {wireRetries} from './retry-wiring.js';
import {BackendAgent} from './relay/backend-agent.js';
import {BackendClient} from './relay/backend-client.js';
import {type ExchangeDependencies} from './relay/exchange-dependencies.js';
import {ExchangeRegistry} from './relay/exchange-registry.js';
import {RequestQueue} from './relay/request-queue.js';
import {TableName} from './replication/table-name.js';
import {RandomSource} from './routing/random-source.js';
import {type RouterSettings} from './settings/router-settings.js';
import {CircuitBreakerTable} from './store/circuit-breaker-table.js';
import {ConnectionPurpose} from './tunnels/connection-purpose.js';
import {ConnectorAgent} from './tunnels/connector-agent.js';
import {wireSelection} from './scheduling-wiring.js';
import {wireStreamMonitor} from './stream-monitor-wiring.js';
import {wireTunnels} from './tunnel-wiring.js';

/** Seeds of the random source are below this number. */
const randomSeedRange = 0x7F_FF_FF_FF;
/** Durations in milliseconds. */
const serverHealthTimings = {
	suspicion: 2000, maxSuspicion: 8000, saturationBackoff: 250, trialPause: 700,
};
/** Longest pause that a backend server may ask for. */
const maxPauseMs = 60_000;
/** Requests and prompt parts that are refused at a time. */
const maxQuarantined = 1000;
/** Weights of pipeline selection; `maxLoadAge` in milliseconds. */
const selectionWeights = {
	remoteZone: 0.4, crossing: 5, maxOccupancy: 1, occupancyWeight: 3, maxLoadAge: 1500,
};
/** Fraction of the bandwidth between availability zones that the instances use together. */
const interzoneBandwidthFraction = 0.5;
/** Time for which unused bandwidth between availability zones accumulates. */
const interzoneBurstMs = 1000;
/** Interval between attempts to start the queued requests. */
const queueRetryIntervalMs = 40;
/** Rejected attempts after which a stream request fails. */
const maxRejections = 6;
/** Fraction of the latency target within which a stream request must be sent for its answer to be on time. */
const onTimeFraction = 0.75;
/** Fraction of the caller's idle timeout for which an interrupted stream waits for another pipeline. */
const resumeWaitFraction = 0.9;
/** Age at which the slowdown factor that a server reported is ignored. */
const slowdownExpiryMs = 3000;
/** Time limit of a request to another instance. */
const gossipTimeoutMs = 400;
/** Fraction of the latency target after which an unresponsive server is abandoned for another one. */
const plainResponseTimeoutFraction = 0.8;
/** Counters whose growth is logged: what an instance asks of the backend servers and of other instances. */
/** Memory in bytes of a router without callers. */
const baseMemory = 76_000_000;
const loggedCounters = new Set(['siskinnotch_connections', 'siskinnotch_server_queries', 'siskinnotch_tunnels_opened', 'siskinnotch_gossip_calls', 'siskinnotch_loan_requests']);
const counterLogIntervalMs = 2000;
/** Creates a pipeline router and everything that it consists of. */
export function wireRouter(settings: RouterSettings, {timers, log, logger, countDroppedLines}: RouterEnvironment, adapters: PlatformAdapters): Router {
	const {instance, store, limits, placement: placementSettings} = settings;
	const metrics = new Metrics();
	const lifecycle = new Lifecycle();
	const random = new RandomSource(Math.floor(Math.random() * randomSeedRange));
	const directory = new ServerDirectory(timers, log);
	const serverHealth = new ServerHealthTracker(serverHealthTimings, log);
	const backpressure: Backpressure = {
		pauses: new ServerPauses(maxPauseMs, log), limits: new ServerLimits({
			self: instance.id,
			findInstances: () => instanceRegistry.findSharing(),
			log,
			onChange() {
				gossip.reportLimitChange();
			},
		}),
	};
	const quarantine = new Quarantine(maxQuarantined);
	const serverLoad = new ServerLoad();
	const slowdowns = new ServerSlowdowns(slowdownExpiryMs);
	const activeCatalog = new ActiveCatalog(log, timers);

	const gossipClients = new GossipClients(timers, gossipTimeoutMs);
	const {paths, peerPaths, ownPaths, serverConnector, tunnelServer} = wireTunnels(limits.connect, {
		directory, findPeers: () => findResponsivePeers(), lifecycle, random, timers, metrics, log,
	}, {
		onBroken(address) {
			backendAgent.closeIdle(address);
		},
		onRestored() {
			serverHealth.clearUnverified();
			requestQueue.dispatchReady();
		},
	});
	const backendAgent = new BackendAgent(timers, limits.idle_connection, serverConnector);
	const newConnectionAgent = new ConnectorAgent(serverConnector, ConnectionPurpose.IsolatedRequest);
	const stageReporter = adapters.createStageReporter(new ConnectorAgent(serverConnector, ConnectionPurpose.Query));
	const waiting = wireWaiting(settings, () => requestQueue.describeWaiting());
	const lease = new Lease(`${instance.id}/${randomUUID()}`, placementSettings.lease);
	const {instanceRegistry, peerLoads, gossip, findResponsivePeers, tables, catalogCurrency, quarantineRegister, tableWatchers, isStoreReader, storeAccess} = wireControl(settings, {
		timers, log, metrics, random, directory, serverHealth, serverLoad, serverLimits: backpressure.limits, slowdowns, quarantine, lease, clients: gossipClients, peerPaths,
		waitingExchange: waiting.exchange,
		instanceTable: adapters.instanceTable, quarantineTable: adapters.quarantineTable, feeds: adapters.feeds,
	}, {
		onInstancesChange() {
			retries.updateShares();
		},
		onSuspicion(server, reason) {
			streamMonitor.hedgeStreamsThrough(server, reason);
		},
		onCrashReport(report) {
			crashGuard.receiveReport(report);
		},
		onCleared(parts) {
			crashGuard.receiveCleared(parts);
		},
		onQuarantine(part, expiresAt) {
			crashGuard.receiveQuarantine(part, expiresAt, QuarantineOrigin.Store);
		},
		onQuarantineReport(part, expiresAt) {
			crashGuard.receiveQuarantine(part, expiresAt, QuarantineOrigin.Peer);
		},
	});
	const crashGuard = wireCrashGuard(limits.prompt_quarantine, {
		gossip, quarantine, quarantineRegister, directory, serverHealth, timers, metrics, log,
	}, {
		checkServer: server => streamMonitor.checkServer(server),
		onQuarantine(part, refusal) {
			exchanges.endQuarantined(part, refusal);
		},
	});
	const retries = wireRetries(settings, {
		instanceRegistry, findResponsivePeers, clients: gossipClients, lifecycle, random, timers, metrics, log,
		isKnownService: service => activeCatalog.current?.catalog.services.has(service) ?? false,
		isResumable: service => activeCatalog.current?.catalog.services.get(service)?.engine !== undefined,
		onLoan() {
			requestQueue.dispatchReady();
		},
	});
	const backendClient = new BackendClient({
		codec: adapters.codec, agent: backendAgent, newConnectionAgent, timers, connectTimeout: limits.connect,
	});
	const exchangeDependencies: ExchangeDependencies = {
		client: backendClient, directory, serverHealth, backpressure, load: serverLoad, crashGuard, retryBudgets: retries.budgets, timers, metrics, log,
	};
	const onSuspicion = (server: BackendServer, isBlocking: boolean, reason: string) => {
		streamMonitor.hedgeStreamsThrough(server, reason);
		gossip.reportSuspicion(server, isBlocking, reason);
	};

	const selection = wireSelection(settings, {
		directory, serverHealth, backpressure, load: serverLoad, slowdowns, availabilityZone: instance.availability_zone, peerLoads, random, metrics,
		interzoneBandwidth: new InterzoneBandwidthBudget(interzoneBandwidthFraction, interzoneBurstMs, () => instanceRegistry.countSharing()),
	}, selectionWeights);
	const admission = wireAdmission(settings, {
		instanceRegistry, zone: waiting.zone, activeCatalog, directory, random, timers, metrics,
	});
	const requestQueue = new RequestQueue(timers, {capacity: limits.queue_places, dispatchInterval: queueRetryIntervalMs});
	const exchanges = new ExchangeRegistry(
		exchangeDependencies,
		{
			selector: new PlainServerSelector({
				directory, serverHealth, backpressure, load: serverLoad, random,
			}),
			computeConnectionShare: connections => Math.max(1, Math.floor(connections / instanceRegistry.countSharing())),
			limits: {maxBufferedBytes: limits.held_answer, responseTimeoutFraction: plainResponseTimeoutFraction},
		},
		{
			selector: selection.selector,
			requestQueue,
			admission,
			answers: wireEstimates(settings, {metrics, log}),
			limits: {
				maxRejections, lateRejectionThreshold: limits.stall / 2, onTimeFraction, maxQueueTime: limits.queue_wait, resumeWaitFraction, retryAfter: limits.come_back,
			},
			onSuspicion,
			onRejection(server, rejections, rejection) {
				selection.recordRejection(rejection);
				streamMonitor.recordRejections(server, rejections);
			},
		},
	);
	const streamMonitor = wireStreamMonitor({
		exchanges,
		reporter: stageReporter,
		serverHealth,
		backpressure,
		serverSlowdowns: slowdowns,
		directory,
		random,
		timers,
		metrics,
		log,
		isPathBroken: ({address}) => paths.isBroken(address, timers.now()),
		isPathSilent: ({address}) => paths.isSilent(address, timers.now()),
		checkPath: async ({address}) => serverConnector.isPathBroken(address),
		getHealthPath: service => activeCatalog.current?.catalog.services.get(service)?.healthPath ?? '/',
		onSuspicion,
		countInstances: () => instanceRegistry.countSharing(),
	});
	const {leaseManager, placementController} = wirePlacement(settings, {
		lease,
		leaseTable: new CircuitBreakerTable(adapters.leaseTable, storeAccess, timers),
		catalog: activeCatalog,
		directory,
		serverHealth,
		backpressure,
		reporter: stageReporter,
		sender: adapters.createOrderSender(new ConnectorAgent(serverConnector, ConnectionPurpose.Order)),
		timers,
		metrics,
		log,
		logger,
		getTokens: (server, now) => serverLoad.getTokens(server) + peerLoads.getTokens(server, now),
		reportRange(server, range) {
			gossip.reportRange(server, range);
		},
	});

	const catalogReader = new CatalogReader(adapters.catalogDecoder, activeCatalog, log);
	tables.onChange(TableName.Catalog, (table, from) => {
		catalogReader.update(table, from);
	});
	const serverListReader = new ServerListReader({
		decoder: adapters.serverDecoder, directory, log, onRead() {
			serverHealth.retain(directory.all());
			backpressure.pauses.retain(directory.all());
			backpressure.limits.retain(directory.all(), timers.now());
			serverLoad.retain(directory.all());
			slowdowns.retain(directory.all());
			selection.retain(directory.all());
			paths.retain(new Set(directory.all().map(({address}) => address)));
			requestQueue.dispatchReady();
		},
	}, store.return_grace);
	tables.onChange(TableName.Servers, table => {
		serverListReader.update(table);
	});
	tables.onConfirmation(TableName.Servers, table => {
		serverListReader.confirm(table);
	});

	const entryServer = new EntryServer({
		authorizer: new RequestAuthorizer(activeCatalog, random), intake: wireIntake(limits, baseMemory, {timers, metrics, log}),
		catalogCurrency, codec: adapters.codec, exchanges, crashGuard, lifecycle, timers, metrics, log,
	});
	const statusServer = new StatusServer(adapters.readinessPath, (): boolean => router.isReady, metrics);
	metrics.gauge('siskinnotch_log_lines_dropped', countDroppedLines);
	metrics.gauge('siskinnotch_exchanges', () => exchanges.size);
	metrics.gauge('siskinnotch_waiting', () => requestQueue.size);
	metrics.gauge('siskinnotch_configuration_version', () => activeCatalog.version);
	metrics.gauge('siskinnotch_list_age_ms', () => timers.now() - directory.lastReadAt);
	metrics.gauge('siskinnotch_peers_heard', () => peerLoads.getReportingInstances(timers.now()).length);
	metrics.gauge('siskinnotch_servers', () => directory.all().length);
	metrics.gauge('siskinnotch_servers_suspected', () => serverHealth.countSuspected(timers.now()));
	metrics.gauge('siskinnotch_servers_limited', () => backpressure.limits.size);
	new CounterLog(loggedCounters, metrics, log).start(timers, counterLogIntervalMs);
	const selections = new SelectionRequestHandler({
		secret: settings.secrets.operators, activeCatalog, selector: selection.selector, timers,
		getOccupancyLimit: (service, priority, now) => admission.reserves.getOccupancyLimit(service, priority, now),
	});
	const router: Router = new Router(settings, {
		timers, log, metrics, lifecycle, entryServer, statusServer, exchanges, streamMonitor, crashGuard, activeCatalog, tableWatchers, isStoreReader,
		directory, instanceRegistry, gossip, gossipClients, selections, retryLender: retries.loans, ownPaths, tunnelServer, lease, leaseManager, placementController,
	});
	return router;
}
