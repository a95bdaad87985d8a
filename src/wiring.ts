import {randomUUID} from 'node:crypto';
import {ActionExecutor} from './actions/action-executor.js';
import {RetryBudget} from './admission/retry-budget.js';
import {HttpModelEngine} from './backends/http-model-engine.js';
import {HttpPlainService} from './backends/http-plain-service.js';
import {LoadPoller} from './backends/load-poller.js';
import {CallerInterface} from './callers/caller-interface.js';
import {CallerAuthenticator} from './callers/caller-authenticator.js';
import {ConfigurationStore} from './configuration/configuration-store.js';
import {ConfigurationWatcher} from './configuration/configuration-watcher.js';
import {ActiveConfiguration} from './configuration/active-configuration.js';
import {ConfigurationFreshness} from './configuration/configuration-freshness.js';
import {VersionPropagator} from './configuration/version-propagator.js';
import {SheetSubmissionService} from './configuration/sheet-submission-service.js';
import {StreamCapacity} from './completions/stream-capacity.js';
import {CompletionService} from './completions/completion-service.js';
import {Instance} from './instance.js';
import {LeaseManager} from './leases/lease-manager.js';
import {Lease} from './leases/lease.js';
import {OrderDispatcher} from './leases/order-dispatcher.js';
import {Lifecycle} from './lifecycle.js';
import {Membership} from './membership/membership.js';
import {Invariants} from './observation/invariants.js';
import {createLog, partLog} from './observation/log.js';
import {Metrics} from './observation/metrics.js';
import {SpanWriter} from './observation/span-writer.js';
import {Tracing} from './observation/tracing.js';
import {OperatorRequestHandler} from './peers/operator-request-handler.js';
import {PeerRequestHandler} from './peers/peer-request-handler.js';
import {PeerInterface} from './peers/peer-interface.js';
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

const groupWindowMs = 2;
const mostGroupedWrites = 64;
const confirmationLimitMs = 5000;
const leaseDurationMs = 6000;
const leastRetries = 10;
const seedRange = 0x7F_FF_FF_FF;

function createPolicy(choice: RoutePolicyKind, random: RandomSource): RoutePolicy {
	switch (choice) {
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

/** Builds the parts of an entry instance. Nothing else constructs them. */
export function wire(settings: Settings): Instance {
	const {instance, platform: platformSettings, backends, limits, peers: peerSettings, secrets} = settings;
	const timers = new ClockTimerService();
	const log = createLog(settings.logs.level, settings.logs.format, instance.id);
	const metrics = new Metrics();
	const invariants = new Invariants(partLog(log, 'invariants'));
	const tracing = new Tracing(new SpanWriter(settings.traces.file, partLog(log, 'traces')), settings.traces.ratio);
	const random = new RandomSource(Math.floor(Math.random() * seedRange));
	const lifecycle = new Lifecycle();

	const platform = new HttpPlatform(platformSettings.url, platformSettings.timeout, timers);
	const table = new TracedTable(new GroupCommitTable(platform.table, timers, groupWindowMs, mostGroupedWrites), tracing, metrics, timers);
	const fleet = new Fleet();
	const membership = new Membership(instance.id, peerSettings.suspicion, random);
	const instanceCount = () => membership.alive().length + 1;
	const peers = new TrpcPeers({
		self: instance.peers, secret: secrets.peers, timeout: peerSettings.timeout, membership, timers,
	});

	const archive = new ConfigurationStore(table);
	const keeper = new ActiveConfiguration(invariants);
	const freshness = new ConfigurationFreshness(confirmationLimitMs);
	const follower = new ConfigurationWatcher({
		store: archive, activeConfiguration: keeper, freshness, peers, timers, random, metrics, log: partLog(log, 'configuration'),
	});
	const office = new SheetSubmissionService(archive, keeper, new VersionPropagator(peers, timers), timers);

	const engine = new HttpModelEngine(timers);
	const plainService = new HttpPlainService(timers);
	const policy = createPolicy(settings.routing.policy, random);
	const budget = new RetryBudget(limits.retry_ratio, leastRetries);
	const meter = new UsageMeter({
		table, timers, holder: `${instance.id}/${randomUUID()}`, countInstances: () => fleet.entryInstances().size, invariants, log: partLog(log, 'usage'),
	});
	const ledger = new ActionExecutor(table, timers, instance.id, partLog(log, 'actions'));
	const drafts = new CompletionService({
		limits: {
			queue: limits.queue, queueTime: limits.queue_time, stallTimeout: backends.stall, firstTokenTimeout: backends.first_token, slowTokenGap: limits.token_gap, maximumStreams: limits.streams,
		},
		runDependencies: {
			engine, fleet, timers, tracing, metrics, log: partLog(log, 'streams'), inspectionTimeout: backends.probe,
		},
		policy,
		capacity: new StreamCapacity(fleet, instanceCount, limits.token_gap),
		retryBudget: budget,
		meter,
		random,
		invariants,
		log: partLog(log, 'drafts'),
	});
	const plain = new PlainDispatcher({
		service: plainService, ledger, fleet, retryBudget: budget, tracing, timers, random, callTimeout: backends.plain,
	});

	const gate = new CallerAuthenticator(keeper, freshness, () => ({
		peerCount: membership.all().length,
		aliveCount: membership.countAlive(),
		lastContactAt: membership.getLastAcknowledgedAt(),
	}), timers);
	const callers = new CallerInterface({maxBodyBytes: limits.body, headersTimeoutMs: limits.headers, maxDeadlineMs: limits.deadline}, {
		authenticator: gate, completions: drafts, plainDispatcher: plain, ledger, timers, tracing, metrics, invariants, lifecycle, log: partLog(log, 'callers'),
	});
	const peerDesk = new PeerRequestHandler({
		self: {id: instance.id, address: instance.peers}, membership, peers, configurationWatcher: follower, activeConfiguration: keeper, fleet, timers,
	});
	const explainer = new RouteExplainer(keeper, fleet, policy, timers);
	const operatorDesk = new OperatorRequestHandler({
		self: {id: instance.id, address: instance.peers, state: 'alive'}, sheetSubmission: office, activeConfiguration: keeper, archive, platform, membership, explainer, ledger, lifecycle,
	});
	const peerInterface = new PeerInterface(createProcedures(peerDesk, operatorDesk), secrets, metrics);
	const instanceWatch = new InstanceListWatcher(platform.instances, ({changed}) => {
		fleet.update(changed);
		const entries = [...fleet.entryInstances().values()].map(({id, address}): [string, string] => [id, address]);
		membership.applyList(new Map(entries), timers.now());
	}, partLog(log, 'instances'));
	const loadWatch = new LoadPoller({
		fleet, engine, plain: plainService, timers, limit: backends.connect,
	});
	const lease = new Lease(`${instance.id}/${randomUUID()}`, leaseDurationMs);
	const leaseKeeper = new LeaseManager('orders', lease, {table, timers, log: partLog(log, 'leases')});
	const orderDesk = new OrderDispatcher(lease, {
		engine, fleet, activeConfiguration: keeper, timers, invariants, log: partLog(log, 'orders'),
	});

	return new Instance(settings, {
		timers,
		log: partLog(log, 'daemon'),
		metrics,
		invariants,
		tracing,
		lifecycle,
		callers,
		peerInterface,
		peerDesk,
		follower,
		keeper,
		instanceWatch,
		loadWatch,
		drafts,
		ledger,
		meter,
		membership,
		fleet,
		leaseKeeper,
		orderDesk,
	});
}
