import {randomUUID} from 'node:crypto';
import {ActionExecutor} from './actions/action-executor.js';
import {RetryBudget} from './admission/retry-budget.js';
import {HttpModelEngine} from './backends/http-model-engine.js';
import {HttpPlainService} from './backends/http-plain-service.js';
import {LoadPoller} from './backends/load-poller.js';
import {wireIntake} from './intake-wiring.js';
import {CallerAuthenticator} from './callers/caller-authenticator.js';
import {CallerInterface} from './callers/caller-interface.js';
import {CompletionService} from './completions/completion-service.js';
import {StreamCapacity} from './completions/stream-capacity.js';
import {ActiveConfiguration} from './configuration/active-configuration.js';
import {ConfigurationFreshness} from './configuration/configuration-freshness.js';
import {ConfigurationStore} from './configuration/configuration-store.js';
import {ConfigurationWatcher} from './configuration/configuration-watcher.js';
import {SheetSubmissionService} from './configuration/sheet-submission-service.js';
import {VersionPropagator} from './configuration/version-propagator.js';
import {Instance} from './instance.js';
import {LeaseManager} from './leases/lease-manager.js';
import {Lease} from './leases/lease.js';
import {OrderDispatcher} from './leases/order-dispatcher.js';
import {Lifecycle} from './lifecycle.js';
import {Membership} from './membership/membership.js';
import {DecisionLog} from './observation/decision-log.js';
import {Invariants} from './observation/invariants.js';
import {createLog, createPartLog} from './observation/log.js';
import {Metrics} from './observation/metrics.js';
import {SpanWriter} from './observation/span-writer.js';
import {Tracing} from './observation/tracing.js';
import {OperatorRequestHandler} from './peers/operator-request-handler.js';
import {PeerInterface} from './peers/peer-interface.js';
import {PeerRequestHandler} from './peers/peer-request-handler.js';
import {createProcedures} from './peers/procedures.js';
import {TrpcPeers} from './peers/trpc-peers.js';
import {PlainDispatcher} from './plain/plain-dispatcher.js';
import {GroupCommitTable} from './store/group-commit-table.js';
import {HttpPlatform} from './store/http-platform.js';
import {InstanceListWatcher} from './store/instance-list-watcher.js';
import {TracedTable} from './store/traced-table.js';
import {Fleet} from './routing/fleet.js';
import {FlowPolicy} from './routing/flow-policy.js';
import {LeastLoadedPolicy} from './routing/least-loaded-policy.js';
import {RandomPairPolicy} from './routing/random-pair-policy.js';
import {RoutePolicyKind} from './routing/route-policy-kind.js';
import {RoundRobinPolicy} from './routing/round-robin-policy.js';
import {type RoutePolicy} from './routing/route-policy.js';
import {RandomSource} from './routing/random-source.js';
import {RouteExplainer} from './routing/route-explainer.js';
import {type Settings} from './settings/settings.js';
import {ClockTimerService} from './time/clock-timer-service.js';
import {UsageMeter} from './usage/usage-meter.js';

/** Time for which table writes are collected into one transaction. */
const groupCommitWindowMs = 2;
const maxGroupedWrites = 64;
/** Age at which the last confirmation that the configuration is current no longer counts. */
const maxConfirmationAgeMs = 5000;
const leaseDurationMs = 6000;
/** Retries that are allowed regardless of the number of requests. */
const minRetries = 10;
/** Memory in bytes of an instance without callers. */
const baseMemory = 110_000_000;
/** Lines about refused bodies. */
const bodyLogRate = {perSecond: 2, burst: 10};
/** Seeds of the random source are below this number. */
const randomSeedRange = 0x7F_FF_FF_FF;

function createRoutePolicy(kind: RoutePolicyKind, random: RandomSource): RoutePolicy {
	switch (kind) {
		case RoutePolicyKind.Flow: {
			return new FlowPolicy(random);
		}

		case RoutePolicyKind.RoundRobin: {
			return new RoundRobinPolicy();
		}

		case RoutePolicyKind.LeastLoaded: {
			return new LeastLoadedPolicy();
		}

		case RoutePolicyKind.RandomPair: {
			return new RandomPairPolicy(random);
		}
	}
}

/** Creates an entry instance. This is the only place that constructs its components. */
export function wire(settings: Settings): Instance {
	const {instance, platform: platformSettings, backends, limits, peers: peerSettings, secrets} = settings;
	const timers = new ClockTimerService();
	const log = createLog(settings.logs.level, settings.logs.format, instance.id);
	const metrics = new Metrics();
	const invariants = new Invariants(createPartLog(log, 'invariants'));
	const tracing = new Tracing(new SpanWriter(settings.traces.file, createPartLog(log, 'traces')), settings.traces.ratio);
	const random = new RandomSource(Math.floor(Math.random() * randomSeedRange));
	const lifecycle = new Lifecycle();

	const platform = new HttpPlatform(platformSettings.url, platformSettings.timeout, timers);
	const table = new TracedTable(new GroupCommitTable(platform.table, timers, groupCommitWindowMs, maxGroupedWrites), tracing, metrics, timers);
	const fleet = new Fleet();
	const membership = new Membership(instance.id, peerSettings.suspicion, random);
	const countInstances = () => membership.alive().length + 1;
	const peers = new TrpcPeers({
		self: instance.peers, secret: secrets.peers, timeout: peerSettings.timeout, membership, timers,
	});

	const configurationStore = new ConfigurationStore(table);
	const activeConfiguration = new ActiveConfiguration(invariants);
	const freshness = new ConfigurationFreshness(maxConfirmationAgeMs);
	const configurationWatcher = new ConfigurationWatcher({
		store: configurationStore, activeConfiguration, freshness, peers, timers, random, metrics, log: createPartLog(log, 'configuration'),
	});
	const sheetSubmission = new SheetSubmissionService(configurationStore, activeConfiguration, new VersionPropagator(peers, timers), timers);

	const engine = new HttpModelEngine(timers);
	const plainService = new HttpPlainService(timers);
	const routePolicy = createRoutePolicy(settings.routing.policy, random);
	const retryBudget = new RetryBudget(limits.retry_ratio, minRetries);
	const usageMeter = new UsageMeter({
		table, timers, holder: `${instance.id}/${randomUUID()}`, countInstances: () => fleet.getEntryInstances().size, invariants, log: createPartLog(log, 'usage'),
	});
	const actionExecutor = new ActionExecutor(table, timers, instance.id, createPartLog(log, 'actions'));
	const completions = new CompletionService({
		limits: {
			queue: limits.queue, queueTime: limits.queue_time, stallTimeout: backends.stall, firstTokenTimeout: backends.first_token, slowTokenGap: limits.token_gap, maximumStreams: limits.streams,
		},
		runDependencies: {
			engine, fleet, timers, tracing, metrics, log: createPartLog(log, 'streams'), inspectionTimeout: backends.probe,
		},
		policy: routePolicy,
		capacity: new StreamCapacity(fleet, countInstances, limits.token_gap),
		retryBudget,
		meter: usageMeter,
		random,
		invariants,
		log: createPartLog(log, 'drafts'),
	});
	const plainDispatcher = new PlainDispatcher({
		service: plainService, actionExecutor, fleet, retryBudget, tracing, timers, random, callTimeout: backends.plain,
	});

	const authenticator = new CallerAuthenticator(activeConfiguration, freshness, () => ({
		peerCount: membership.all().length,
		aliveCount: membership.countAlive(),
		lastContactAt: membership.getLastAcknowledgedAt(),
	}), timers);
	const intake = wireIntake(limits, baseMemory, {timers, metrics, log: new DecisionLog(createPartLog(log, 'bodies'), timers, bodyLogRate)});
	const callers = new CallerInterface({maxBodyBytes: limits.body, headersTimeoutMs: limits.headers, maxDeadlineMs: limits.deadline}, {
		authenticator, intake, completions, plainDispatcher, actionExecutor, timers, tracing, metrics, invariants, lifecycle, log: createPartLog(log, 'callers'),
	});
	const peerRequestHandler = new PeerRequestHandler({
		self: {id: instance.id, address: instance.peers}, membership, peers, configurationWatcher, activeConfiguration, fleet, timers,
	});
	const explainer = new RouteExplainer(activeConfiguration, fleet, routePolicy, timers);
	const operatorRequestHandler = new OperatorRequestHandler({
		self: {id: instance.id, address: instance.peers, state: 'alive'},
		sheetSubmission,
		activeConfiguration,
		configurationStore,
		platform,
		membership,
		explainer,
		actionExecutor,
		lifecycle,
	});
	const peerInterface = new PeerInterface(createProcedures(peerRequestHandler, operatorRequestHandler), secrets, metrics);
	const instanceListWatcher = new InstanceListWatcher(platform.instances, ({changed}) => {
		fleet.update(changed);
		const entries = [...fleet.getEntryInstances().values()].map(({id, address}): [string, string] => [id, address]);
		membership.applyList(new Map(entries), timers.now());
	}, createPartLog(log, 'instances'));
	const loadPoller = new LoadPoller({
		fleet, engine, plain: plainService, timers, timeout: backends.connect,
	});
	const lease = new Lease(`${instance.id}/${randomUUID()}`, leaseDurationMs);
	const leaseManager = new LeaseManager('orders', lease, {table, timers, log: createPartLog(log, 'leases')});
	const orderDispatcher = new OrderDispatcher(lease, {
		engine, fleet, activeConfiguration, timers, invariants, log: createPartLog(log, 'orders'),
	});

	return new Instance(settings, {
		timers,
		log: createPartLog(log, 'daemon'),
		metrics,
		invariants,
		tracing,
		lifecycle,
		callers,
		peerInterface,
		peerRequestHandler,
		configurationWatcher,
		activeConfiguration,
		instanceListWatcher,
		loadPoller,
		completions,
		actionExecutor,
		usageMeter,
		membership,
		fleet,
		leaseManager,
		orderDispatcher,
	});
}
