import {type ServerLimits} from './backpressure/server-limits.js';
import {InstanceRegistry, type RegisteredInstance} from './entry/instance-registry.js';
import {type Lease} from './leases/lease.js';
import {type DecisionLog} from './observation/decision-log.js';
import {type Metrics} from './observation/metrics.js';
import {type BackendServer} from './pipelines/backend-server.js';
import {type ServerDirectory} from './pipelines/server-directory.js';
import {type ServerHealthTracker} from './pipelines/server-health-tracker.js';
import {type ServerLoad} from './pipelines/server-load.js';
import {type ServerSlowdowns} from './pipelines/server-slowdowns.js';
import {type GossipClients} from './peers/gossip-clients.js';
import {ByteBudget} from './peers/byte-budget.js';
import {CrashRumors, type CrashEvents} from './peers/crash-rumors.js';
import {GossipService} from './peers/gossip-service.js';
import {getIdDigest} from './peers/id-digest.js';
import {LimitExchange} from './peers/limit-exchange.js';
import {PartnerSelector} from './peers/partner-selector.js';
import {PeerLoads} from './peers/peer-loads.js';
import {PlacementHolder} from './peers/placement-holder.js';
import {QuarantineExchange} from './peers/quarantine-exchange.js';
import {ServerRumors} from './peers/server-rumors.js';
import {StoreRefusalExchange} from './peers/store-refusal-exchange.js';
import {SlowdownExchange} from './peers/slowdown-exchange.js';
import {SuspicionQuorum} from './peers/suspicion-quorum.js';
import {TableExchange} from './peers/table-exchange.js';
import {type WaitingExchange} from './peers/waiting-exchange.js';
import {type Quarantine} from './quarantine/quarantine.js';
import {QuarantineRegister} from './quarantine/quarantine-register.js';
import {StoreAccess} from './replication/store-access.js';
import {StoreReaderRole} from './replication/store-reader-role.js';
import {TableCurrency} from './replication/table-currency.js';
import {type TableFeed} from './replication/table-feed.js';
import {TableName, tableNames} from './replication/table-name.js';
import {TableSet} from './replication/table-set.js';
import {TableWatcher} from './replication/table-watcher.js';
import {type RandomSource} from './routing/random-source.js';
import {type RouterSettings} from './settings/router-settings.js';
import {CircuitBreakerTable} from './store/circuit-breaker-table.js';
import {type Table} from './store/table.js';
import {type PeerPaths} from './tunnels/peer-paths.js';
import {type TimerService} from './time/timer-service.js';

/** The parts of a router through which it shares state with the other instances. */
export type Control = {
	readonly instanceRegistry: InstanceRegistry;
	readonly peerLoads: PeerLoads;
	readonly gossip: GossipService;
	/** The other instances that are presumed to be running and that responded when they were last contacted. */
	readonly findResponsivePeers: () => readonly RegisteredInstance[];
	readonly tables: TableSet;
	/** How current the copy of the configuration is. */
	readonly catalogCurrency: TableCurrency;
	/** Keeps the quarantines in the store. */
	readonly quarantineRegister: QuarantineRegister;
	readonly tableWatchers: readonly TableWatcher[];
	/** Whether this instance is one of those that read the store in normal operation. */
	readonly isStoreReader: () => boolean;
	/** Whether the store refuses this instance. */
	readonly storeAccess: StoreAccess;
};

/** What the control parts are built from. */
export type ControlDependencies = {
	readonly timers: TimerService;
	readonly log: DecisionLog;
	readonly metrics: Metrics;
	readonly random: RandomSource;
	readonly directory: ServerDirectory;
	readonly serverHealth: ServerHealthTracker;
	readonly serverLoad: ServerLoad;
	readonly serverLimits: ServerLimits;
	readonly slowdowns: ServerSlowdowns;
	/** The requests and prompt parts that this instance refuses. */
	readonly quarantine: Quarantine;
	readonly lease: Lease;
	readonly waitingExchange?: WaitingExchange;
	readonly clients: Pick<GossipClients, 'exchange' | 'traffic'>;
	readonly peerPaths: PeerPaths;
	/** Holds a row for each instance. */
	readonly instanceTable: Table;
	/** Holds a row for each request and prompt part under quarantine. */
	readonly quarantineTable: Table;
	readonly feeds: Readonly<Record<TableName, TableFeed>>;
};

/** What the other parts of the router are told. */
export type ControlEvents = CrashEvents & {
	/** Called when instances were added or removed, and when they become known. */
	readonly onInstancesChange: (instances: readonly RegisteredInstance[]) => void;
	/** Called when a backend server becomes suspected because of reports of other instances. */
	readonly onSuspicion: (server: BackendServer, reason: string) => void;
	/** Called when the store has a new or changed quarantine that has not expired; `expiresAt` is Unix time in milliseconds. */
	readonly onQuarantine: (part: string, expiresAt: number) => void;
	/** Called when another instance has a quarantine that is not in force here; `expiresAt` is Unix time in milliseconds. */
	readonly onQuarantineReport: (part: string, expiresAt: number) => void;
};

type TablePolling = {
	/** Milliseconds that one call waits for a change. */
	readonly wait: number;
	/** Milliseconds between two calls. */
	readonly pauseAfterCall: number;
};

/** Time after the start in which some other instances had no time to report, so that all registered ones count as running, and those that sent messages do not count as all. */
const reportingTimeMs = 10_000;
/** Durations in milliseconds. */
const registryTimings = {
	refreshInterval: 60_000, expiry: 150_000, expiryCheckInterval: 5000, retryPause: 2000, contactTime: reportingTimeMs,
};
/** Durations in milliseconds; the fanouts count instances. */
const gossipTimings = {
	period: 500,
	maxRoundContacts: 4,
	rumorFanout: {near: 4, far: 2},
	tableFanout: {near: 5, far: 0},
	farContactsPerZone: 4,
	remoteFetchDelay: 300,
	fetchPatience: 300,
	spreadDelay: 15,
	answerDelay: 250,
};
/** Durations in milliseconds. */
const rumorTimings = {rumorLifetime: 3000, rumorMemory: 10_000};
/** Durations in milliseconds. Writing is not urgent: the running instances learn of crashes through gossip. */
const quarantineTimings = {
	delayPerInstance: 20, maxDelay: 3000, expiryTolerance: 10_000, retryPause: 2000, maxRetryPause: 60_000,
};
const bytesPerMegabit = 125_000;
/** Time for which an unused part of the budget of bytes may be kept. */
const gossipBurstSeconds = 2;
/** Durations in milliseconds; `maxCharacters` bounds the bytes of a message. */
const peerLoadLimits = {
	maxLoadAge: 5000, expiry: 8000, expiryCheckInterval: 100, maxCharacters: 1600,
};
/** Time after the start in which the other instances had no time to register, so that only the seeds read the store. */
const registrationTimeMs = 3000;
/** Durations in milliseconds by which further instances start to read the store when its readers stop. */
const takeoverDelays = {takeoverStep: 100, maxTakeoverDelay: 1500, refusedTakeoverStep: 500};
/** Failed probes of an instance without a copy of a table that follow each other quickly. */
const quickStoreAttempts = 5;
/** Time for which an instance that the store refuses is not asked to read, in multiples of the longest pause between probes. An instance that still probes repeats its report earlier. */
const refusalMemoryPauses = 6;
/** Interval between checks whether this instance is to read a table. */
const tableIdleIntervalMs = 250;
/** Time without a message of any other instance after which this one reads the store itself. */
const peerSilenceMs = 1500;
/** Time for which a copy may pass through other instances before it counts as late, in milliseconds. */
const spreadTimeMs = 2000;
/** Time within which reports of a suspected backend server are counted together. */
const suspicionWindowMs = 2000;
/** Number of other instances that must have failed to reach a backend server; one alone may be cut off itself. */
const suspicionQuorumSize = 2;
/** Delay of a response of the store beyond its due time that counts as an outage. */
const slowTableThresholdMs = 400;

/** Creates the parts through which a router shares state with the other instances. */
export function wireControl(settings: Pick<RouterSettings, 'instance' | 'seeds' | 'store' | 'peers'>, dependencies: ControlDependencies, events: ControlEvents): Control {
	const {instance, seeds, store} = settings;
	const {timers, log, metrics, random, directory, serverHealth, serverLoad, lease, clients} = dependencies;
	const startedAt = timers.now();
	const self = {id: instance.id, availabilityZone: instance.availability_zone, peers: instance.peers};
	const bytesPerSecond = settings.peers.link * bytesPerMegabit * settings.peers.link_share;
	const tables = new TableSet(log);
	const peerLoads = new PeerLoads(self, peerLoadLimits);
	const refusals = new StoreRefusalExchange(self, timers, store.max_retry_pause * refusalMemoryPauses, now => {
		storeAccess.expectAnswer(now);
		// An instance that does not read the store may have a row to write, and a probe is due by then.
		timers.after(store.retry_pause, () => {
			instanceRegistry.retryOwnRow();
		});
	});
	const storeAccess: StoreAccess = new StoreAccess(random, {retryPause: store.retry_pause, maxRetryPause: store.max_retry_pause, quickAttempts: quickStoreAttempts}, {
		isLackingCopy: () => tableNames.some(name => !tables.get(name).position),
		onChange(isRefused, now) {
			if (refusals.recordOwn(isRefused, now)) {
				log.write(isRefused ? 'store.refused' : 'store.served', {});
				gossip.reportStoreAccess();
			}

			if (!isRefused) {
				instanceRegistry.retryOwnRow();
			}
		},
	});
	const instanceRegistry: InstanceRegistry = new InstanceRegistry(self, {
		table: new CircuitBreakerTable(dependencies.instanceTable, storeAccess, timers), timers, log, onChange() {
			events.onInstancesChange(instanceRegistry.all());
		},
	}, registryTimings);
	tables.onChange(TableName.Instances, table => {
		instanceRegistry.update(table);
	});
	const quarantineRegister = new QuarantineRegister({
		table: new CircuitBreakerTable(dependencies.quarantineTable, storeAccess, timers), timers, random, log, countInstances: () => instanceRegistry.all().length, onQuarantine: events.onQuarantine,
	}, quarantineTimings);
	tables.onChange(TableName.Quarantine, table => {
		quarantineRegister.update(table);
	});
	const tableExchange = new TableExchange(tables, refusals);
	const partners = new PartnerSelector(self, random);
	const gossip = new GossipService({
		self,
		instances: instanceRegistry,
		clients,
		byteBudget: new ByteBudget(bytesPerSecond, bytesPerSecond * gossipBurstSeconds),
		partners,
		tables: tableExchange,
		peerLoads,
		rumors: new ServerRumors(instance.id, timers.wallClock(), {
			suspicionQuorum: new SuspicionQuorum(suspicionWindowMs, suspicionQuorumSize), directory, serverHealth, onSuspicion: events.onSuspicion,
		}, rumorTimings),
		crashRumors: new CrashRumors(instance.id, timers.wallClock(), events, rumorTimings),
		limitExchange: new LimitExchange(dependencies.serverLimits),
		waitingExchange: dependencies.waitingExchange,
		slowdownExchange: new SlowdownExchange(dependencies.slowdowns, directory),
		quarantineExchange: new QuarantineExchange(dependencies.quarantine, timers, events.onQuarantineReport),
		serverLoad,
		placementHolder: new PlacementHolder(lease),
		peerPaths: dependencies.peerPaths,
		timers,
		random,
		metrics,
		log,
	}, gossipTimings);

	const isSeed = seeds.peers.length === 0 || seeds.peers.includes(instance.peers);
	const readerRole = new StoreReaderRole(getIdDigest(instance.id), {
		readers: store.readers,
		joinPatience: isSeed ? 0 : (instance.first_start ? store.first_join_patience : store.join_patience),
		...takeoverDelays,
	});
	const findNeighbours = (): readonly string[] | undefined => {
		const now = timers.now();
		const uptime = now - startedAt;
		if (uptime < registrationTimeMs) {
			return isSeed ? [] : undefined;
		}

		if (uptime < reportingTimeMs) {
			return instanceRegistry.findNeighbours().map(id => getIdDigest(id));
		}

		return peerLoads.getReportingInstances(now);
	};

	const describeZone = () => ({neighbours: findNeighbours(), zones: instanceRegistry.countAvailabilityZones(), refused: refusals.findRefused(timers.now())});
	const isStoreReader = () => readerRole.isReader(describeZone());
	const isWithoutPeers = () => gossip.peerHeardAt > Number.NEGATIVE_INFINITY && timers.now() - gossip.peerHeardAt > peerSilenceMs;
	const createTableWatcher = (name: TableName, {wait, pauseAfterCall}: TablePolling) => new TableWatcher(name, {
		feed: dependencies.feeds[name],
		tables,
		access: storeAccess,
		timers,
		metrics,
		log,
		mayRead: () => isWithoutPeers() || readerRole.mayRead({
			...describeZone(),
			age: timers.now() - tables.get(name).confirmation.confirmedAt,
			takeoverAge: wait + slowTableThresholdMs + spreadTimeMs,
			uptime: timers.now() - startedAt,
		}),
		onChange(previous) {
			gossip.reportTableChange(name, previous);
		},
	}, {
		wait, pauseAfterCall, slowThreshold: slowTableThresholdMs, idleInterval: tableIdleIntervalMs,
	});
	const tableWatchers = [
		createTableWatcher(TableName.Catalog, {wait: store.configuration_wait, pauseAfterCall: 0}),
		createTableWatcher(TableName.Servers, {wait: store.list_wait, pauseAfterCall: store.list_pause}),
		createTableWatcher(TableName.Instances, {wait: store.instances_wait, pauseAfterCall: store.list_pause}),
		createTableWatcher(TableName.Quarantine, {wait: store.instances_wait, pauseAfterCall: store.list_pause}),
	];
	return {
		instanceRegistry,
		peerLoads,
		gossip,
		findResponsivePeers: () => instanceRegistry.all().filter(({id}) => id !== instance.id && partners.isResponsive(id, timers.now())),
		tables,
		catalogCurrency: new TableCurrency(tables.get(TableName.Catalog), () => tableExchange.isLacking(TableName.Catalog), timers),
		quarantineRegister,
		tableWatchers,
		isStoreReader,
		storeAccess,
	};
}
