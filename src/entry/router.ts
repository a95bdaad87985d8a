import {type ActiveCatalog} from '../catalog/active-catalog.js';
import {type Lease} from '../leases/lease.js';
import {type LeaseManager} from '../leases/lease-manager.js';
import {type Lifecycle} from '../lifecycle.js';
import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {type ServerDirectory} from '../pipelines/server-directory.js';
import {type GossipClients} from '../peers/gossip-clients.js';
import {type GossipService} from '../peers/gossip-service.js';
import {type RetryLoans} from '../peers/retry-loans.js';
import {type SelectionRequestHandler} from '../peers/selection-request-handler.js';
import {type PlacementController} from '../placement/placement-controller.js';
import {type CrashGuard} from '../quarantine/crash-guard.js';
import {type ExchangeRegistry} from '../relay/exchange-registry.js';
import {type StreamMonitor} from '../relay/streams/stream-monitor.js';
import {type TableWatcher} from '../replication/table-watcher.js';
import {type RouterSettings} from '../settings/router-settings.js';
import {splitAddress} from '../settings/split-address.js';
import {type TimerService} from '../time/timer-service.js';
import {type OwnPaths} from '../tunnels/own-paths.js';
import {type TunnelServer} from '../tunnels/tunnel-server.js';
import {type EntryServer} from './entry-server.js';
import {type InstanceRegistry} from './instance-registry.js';
import {type StatusServer} from './status-server.js';

/** Dependencies of a pipeline router. */
export type RouterDependencies = {
	readonly timers: TimerService;
	readonly log: DecisionLog;
	readonly metrics: Metrics;
	readonly lifecycle: Lifecycle;
	readonly entryServer: EntryServer;
	readonly statusServer: StatusServer;
	readonly exchanges: ExchangeRegistry;
	readonly streamMonitor: StreamMonitor;
	readonly crashGuard: CrashGuard;
	readonly activeCatalog: ActiveCatalog;
	readonly tableWatchers: readonly TableWatcher[];
	/** Whether this instance is one of those that read the store in normal operation. */
	readonly isStoreReader: () => boolean;
	readonly directory: ServerDirectory;
	readonly instanceRegistry: InstanceRegistry;
	readonly gossip: GossipService;
	readonly gossipClients: GossipClients;
	readonly retryLender: RetryLoans;
	readonly selections: SelectionRequestHandler;
	readonly ownPaths: OwnPaths;
	readonly tunnelServer: TunnelServer;
	readonly lease: Lease;
	readonly leaseManager: LeaseManager;
	readonly placementController: PlacementController;
};

const drainPollIntervalMs = 100;
/** Interval between attempts to get the tables from other instances. */
const joinIntervalMs = 400;
/** Time that instances which start together need to write their rows. */
const registrationDelayMs = 1500;

/** Runs a pipeline router from startup to graceful shutdown. */
export class Router {
	constructor(private readonly settings: RouterSettings, private readonly dependencies: RouterDependencies) {}

	/** Opens the listeners and starts the background work. Rejects if an address cannot be bound. */
	async start(): Promise<void> {
		const {settings, dependencies} = this;
		dependencies.activeCatalog.onChange(({limits}) => {
			dependencies.entryServer.setLimits(limits);
		});
		await this.listen(settings.instance.readiness, async (host, port) => dependencies.statusServer.listenReadiness(host, port));
		await this.listen(settings.instance.metrics, async (host, port) => dependencies.statusServer.listenMetrics(host, port));
		await this.listen(settings.instance.callers, async (host, port) => dependencies.entryServer.listen(host, port));
		await this.listen(settings.instance.peers, async (host, port) => dependencies.gossipClients.listen(host, port, dependencies));
		for (const watcher of dependencies.tableWatchers) {
			watcher.start();
		}

		dependencies.instanceRegistry.start();
		dependencies.streamMonitor.start();
		dependencies.crashGuard.start();
		dependencies.gossip.start();
		dependencies.ownPaths.start();
		void this.joinUntilReady();
		this.startPeriodicWork();
		dependencies.log.write('process.started', {id: settings.instance.id, zone: settings.instance.availability_zone, callers: settings.instance.callers});
	}

	/** Whether the load balancer may send new connections: a configuration and the server list have been loaded and no shutdown has begun. */
	get isReady(): boolean {
		const {lifecycle, activeCatalog, directory} = this.dependencies;
		return !lifecycle.isDraining && activeCatalog.version >= 0 && directory.lastReadAt > Number.NEGATIVE_INFINITY;
	}

	/** Starts a graceful shutdown. */
	requestStop(): void {
		this.dependencies.lifecycle.requestStop();
	}

	/** Waits until a graceful shutdown has been requested and has finished. */
	async waitUntilStopped(): Promise<void> {
		const {settings, dependencies} = this;
		await new Promise<void>(resolve => {
			dependencies.lifecycle.onStop(resolve);
		});
		const stopRequestedAt = dependencies.timers.now();
		dependencies.log.write('process.stopping', {inFlight: dependencies.exchanges.size});
		void dependencies.leaseManager.release();
		void dependencies.instanceRegistry.retire();
		await dependencies.timers.sleep(settings.stop.notice);
		dependencies.lifecycle.refuseRequests();
		const drainDeadline = stopRequestedAt + settings.stop.grace - settings.stop.margin;
		while (dependencies.timers.now() < drainDeadline) {
			await dependencies.entryServer.closeIdle(); // eslint-disable-line no-await-in-loop
			const hasOpened = await dependencies.entryServer.acceptArrived(); // eslint-disable-line no-await-in-loop
			if (!hasOpened && this.isDrained) {
				break;
			}

			await dependencies.timers.sleep(drainPollIntervalMs); // eslint-disable-line no-await-in-loop
		}

		const inFlight = dependencies.exchanges.size;
		const {openReplies} = dependencies.entryServer;
		dependencies.entryServer.stopListening();
		dependencies.gossipClients.close();
		dependencies.exchanges.abortAll('the instance is shutting down');
		dependencies.log.write('process.stopped', {cut: inFlight, openReplies, afterMs: Math.round(dependencies.timers.now() - stopRequestedAt)});
	}

	/** Whether nothing is left that the end of the process would cut: no request, no byte of a reply, and no tunnel. */
	private get isDrained(): boolean {
		const {exchanges, entryServer, tunnelServer} = this.dependencies;
		return exchanges.size === 0 && entryServer.pendingRequests === 0 && entryServer.openReplies === 0 && tunnelServer.size === 0;
	}

	/** Whether to acquire or renew the placement lease. The current holder always renews it; other instances try only if they read the store, while it is reachable and no holder has been heard from recently. */
	private mayHoldPlacementLease(): boolean {
		const {settings, dependencies} = this;
		const now = dependencies.timers.now();
		const isHeldElsewhere = now - dependencies.gossip.placementHolderHeardAt < settings.placement.holder_silence;
		const isStoreReachable = now - dependencies.directory.lastReadAt < settings.store.list_wait + settings.store.timeout;
		return !dependencies.lifecycle.isDraining && (dependencies.lease.mayAct(now) || (isStoreReachable && !isHeldElsewhere));
	}

	private async listen(address: string, listenOn: (host: string, port: number) => Promise<void>): Promise<void> {
		const {host, port} = splitAddress(address);
		await listenOn(host, port);
	}

	/** Asks other instances for the tables until this one has the configuration and the server list, and once more when the others had time to register. */
	private async joinUntilReady(): Promise<void> {
		const {settings, dependencies} = this;
		while (!this.isReady && !dependencies.lifecycle.isDraining) {
			await dependencies.gossip.join(settings.seeds.peers); // eslint-disable-line no-await-in-loop
			await dependencies.timers.sleep(joinIntervalMs); // eslint-disable-line no-await-in-loop
		}

		await dependencies.timers.sleep(registrationDelayMs);
		await dependencies.gossip.join(settings.seeds.peers);
	}

	private startPeriodicWork(): void {
		const {settings, dependencies} = this;
		dependencies.timers.repeat(settings.placement.lease_period, () => {
			if (this.mayHoldPlacementLease()) {
				void dependencies.leaseManager.acquireOrRenew();
			}
		});
		dependencies.timers.repeat(settings.placement.period, () => {
			dependencies.placementController.reconcile();
		});
	}
}
