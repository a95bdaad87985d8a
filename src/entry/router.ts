import {type CatalogWatcher} from '../catalog/catalog-watcher.js';
import {type ActiveCatalog} from '../catalog/active-catalog.js';
import {type Lease} from '../leases/lease.js';
import {type LeaseManager} from '../leases/lease-manager.js';
import {type Lifecycle} from '../lifecycle.js';
import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {type ServerDirectory} from '../pipelines/server-directory.js';
import {type ServerListWatcher} from '../pipelines/server-list-watcher.js';
import {type GossipService} from '../peers/gossip-service.js';
import {type GossipClients} from '../peers/gossip-clients.js';
import {type PlacementController} from '../placement/placement-controller.js';
import {type ExchangeRegistry} from '../relay/exchange-registry.js';
import {type StreamMonitor} from '../relay/stream-monitor.js';
import {type RouterSettings} from '../settings/router-settings.js';
import {splitAddress} from '../settings/split-address.js';
import {type TimerService} from '../time/timer-service.js';
import {type EntryServer} from './entry-server.js';
import {type InstanceRegistry} from './instance-registry.js';
import {type StatusServer} from './status-server.js';

/** The parts of a pipeline router. */
export type RouterParts = {
	readonly timers: TimerService;
	readonly log: DecisionLog;
	readonly metrics: Metrics;
	readonly lifecycle: Lifecycle;
	readonly entry: EntryServer;
	readonly status: StatusServer;
	readonly desk: ExchangeRegistry;
	readonly monitor: StreamMonitor;
	readonly catalog: ActiveCatalog;
	readonly catalogFollower: CatalogWatcher;
	readonly directory: ServerDirectory;
	readonly listFollower: ServerListWatcher;
	readonly members: InstanceRegistry;
	readonly news: GossipService;
	readonly links: GossipClients;
	readonly lease: Lease;
	readonly leaseKeeper: LeaseManager;
	readonly placement: PlacementController;
};

const stopPollMs = 100;

/** A pipeline router from start to stop. */
export class Router {
	constructor(private readonly settings: RouterSettings, private readonly parts: RouterParts) {}

	/** Starts all parts. */
	async start(): Promise<void> {
		const {settings, parts} = this;
		parts.catalog.onChange(({limits}) => {
			parts.entry.setLimits(limits);
		});
		await this.listen(settings.instance.readiness, async (host, port) => parts.status.listenReadiness(host, port));
		await this.listen(settings.instance.metrics, async (host, port) => parts.status.listenMetrics(host, port));
		await this.listen(settings.instance.callers, async (host, port) => parts.entry.listen(host, port));
		await this.listen(settings.instance.peers, async (host, port) => parts.links.listen(host, port, parts.news));
		parts.catalogFollower.start();
		parts.listFollower.start();
		parts.members.start();
		parts.monitor.start();
		parts.news.start();
		this.subscribe();
		parts.log.write('process.started', {id: settings.instance.id, zone: settings.instance.availability_zone, callers: settings.instance.callers});
	}

	/** Whether the balancer may send new connections. */
	get isReady(): boolean {
		const {lifecycle, catalog, directory} = this.parts;
		return !lifecycle.isDraining && catalog.version >= 0 && directory.lastReadAt > Number.NEGATIVE_INFINITY;
	}

	/** Begins a planned stop. */
	requestStop(): void {
		this.parts.lifecycle.requestStop();
	}

	/** Resolves when a planned stop is done. */
	async stopped(): Promise<void> {
		const {settings, parts} = this;
		await new Promise<void>(resolve => {
			parts.lifecycle.onStop(resolve);
		});
		const begunAt = parts.timers.now();
		parts.log.write('process.stopping', {inFlight: parts.desk.size});
		void parts.leaseKeeper.release();
		await parts.timers.sleep(settings.stop.notice);
		parts.lifecycle.refuseRequests();
		const limit = begunAt + settings.stop.grace - settings.stop.margin;
		while (parts.timers.now() < limit) {
			parts.entry.closeIdle();
			if (parts.desk.size === 0) {
				break;
			}

			await parts.timers.sleep(stopPollMs); // eslint-disable-line no-await-in-loop
		}

		const inFlight = parts.desk.size;
		parts.entry.stopListening();
		parts.links.close();
		parts.desk.abortAll('the process ends');
		parts.log.write('process.stopped', {cut: inFlight, afterMs: Math.round(parts.timers.now() - begunAt)});
	}

	/** Whether to take or renew the lease for placement: its last holder does, and the others once they no longer hear of one, where the store serves them. */
	private mayPlace(): boolean {
		const {settings, parts} = this;
		const now = parts.timers.now();
		const isHeldElsewhere = now - parts.news.placementHolderHeardAt < settings.placement.holder_silence;
		const isStoreHeard = now - parts.directory.lastReadAt < settings.store.list_wait + settings.store.timeout;
		return !parts.lifecycle.isDraining && (parts.lease.mayAct(now) || (isStoreHeard && !isHeldElsewhere));
	}

	private async listen(address: string, work: (host: string, port: number) => Promise<void>): Promise<void> {
		const {host, port} = splitAddress(address);
		await work(host, port);
	}

	private subscribe(): void {
		const {settings, parts} = this;
		void parts.leaseKeeper.acquireOrRenew();
		parts.timers.repeat(settings.placement.lease_period, () => {
			if (this.mayPlace()) {
				void parts.leaseKeeper.acquireOrRenew();
			}

			if (!this.isReady && !parts.lifecycle.isDraining) {
				void parts.news.syncFromSeeds(settings.seeds.peers);
			}
		});
		parts.timers.repeat(settings.placement.period, () => {
			parts.placement.reconcile();
		});
	}
}
