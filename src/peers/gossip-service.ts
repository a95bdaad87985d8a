import {type ActiveCatalog} from '../catalog/active-catalog.js';
import {type InstanceRegistry, type RegisteredInstance} from '../entry/instance-registry.js';
import {type Lease} from '../leases/lease.js';
import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';
import {type LayerRange} from '../pipelines/layer-range.js';
import {type ServerHealthTracker} from '../pipelines/server-health-tracker.js';
import {type ServerDirectory} from '../pipelines/server-directory.js';
import {type ServerLoad} from '../pipelines/server-load.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type RandomSource} from '../routing/random-source.js';
import {type TimerService} from '../time/timer-service.js';
import {type GossipMessage} from './gossip-message.js';
import {type InstanceSnapshot} from './instance-snapshot.js';
import {type GossipClients} from './gossip-clients.js';
import {type GossipReceiver} from './gossip-procedures.js';
import {type PeerLoads} from './peer-loads.js';
import {type SuspicionQuorum} from './suspicion-quorum.js';

export type GossipServiceDependencies = {
	readonly self: RegisteredInstance;
	readonly instances: InstanceRegistry;
	readonly clients: GossipClients;
	readonly peerLoads: PeerLoads;
	readonly suspicionQuorum: SuspicionQuorum;
	readonly serverLoad: ServerLoad;
	readonly lease: Lease;
	readonly directory: ServerDirectory;
	readonly serverHealth: ServerHealthTracker;
	readonly catalog: ActiveCatalog;
	readonly timers: TimerService;
	readonly random: RandomSource;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
	/** Applies the text of a catalog that is in force on another instance. */
	readonly applyCatalog: (text: string, from: string) => void;
	/** Called when a backend server becomes suspected because of reports of other instances. */
	readonly onSuspicion: (server: BackendServer, reason: string) => void;
};

/** Timings and bounds of gossip. */
export type GossipTimings = {
	/** Milliseconds between rounds of messages. */
	readonly period: number;
	/** Number of instances in other availability zones that get a message in each round. */
	readonly fanout: number;
	/** Milliseconds by which another instance's server list must be newer before this instance fetches its snapshot. */
	readonly staleness: number;
};

type Suspicion = GossipMessage['suspicions'][number];
type Range = GossipMessage['ranges'][number];

/** Sends this instance's load, suspicions and versions to the other instances, and applies the messages that they send. */
export class GossipService implements GossipReceiver {
	private suspicions: Suspicion[] = [];
	private ranges: Range[] = [];
	/** Ids of the instances to which a message is in flight; they get no second one meanwhile. */
	private readonly sending = new Set<string>();
	private isSyncing = false;
	private placementHolderHeardTime = Number.NEGATIVE_INFINITY;

	constructor(private readonly dependencies: GossipServiceDependencies, private readonly timings: GossipTimings) {}

	/** Starts the periodic rounds. */
	start(): void {
		this.dependencies.timers.repeat(this.timings.period, () => {
			this.sendToAll();
		});
	}

	/** Reports at once to the other instances that this one found a backend server not to work. */
	reportSuspicion(server: BackendServer, isBlocking: boolean, reason: string): void {
		this.suspicions.push({life: getIncarnationId(server), isBlocking, reason});
		this.sendToAll();
	}

	/** Reports at once to the other instances that a backend server loaded a range by order. */
	reportRange(server: BackendServer, {from, to}: LayerRange): void {
		this.ranges.push({life: getIncarnationId(server), from, to});
		this.sendToAll();
	}

	receive(message: GossipMessage): void {
		const {peerLoads, suspicionQuorum, timers, catalog} = this.dependencies;
		const now = timers.now();
		peerLoads.update(message.from, message.loads, now);
		if (message.placing > 0) {
			this.placementHolderHeardTime = now;
			this.dependencies.lease.observeOtherHolder(message.placing);
		}

		for (const {life: incarnationId, isBlocking, reason} of message.suspicions) {
			if (suspicionQuorum.report({incarnationId, isBlocking, from: message.from}, now)) {
				this.suspect(incarnationId, `${message.from}: ${reason}`, now);
			}
		}

		for (const {life: incarnationId, from, to} of message.ranges) {
			this.dependencies.directory.overrideRange(incarnationId, {from, to});
		}

		const isListNewer = message.listAge >= 0 && this.getListAge(now) - message.listAge > this.timings.staleness;
		const sender = this.dependencies.instances.all().find(({id}) => id === message.from);
		if (sender && (isListNewer || message.version > catalog.version)) {
			void this.syncFrom(sender.peers);
		}
	}

	/** Monotonic time in milliseconds at which another instance last reported holding the placement lease; -Infinity before that. */
	get placementHolderHeardAt(): number {
		return this.placementHolderHeardTime;
	}

	createSnapshot(version: number): InstanceSnapshot {
		const {catalog, directory, instances, timers} = this.dependencies;
		const age = this.getListAge(timers.now());
		return {
			catalog: catalog.version > version ? catalog.current?.catalog.text : undefined,
			servers: [...directory.all()],
			serversAge: Number.isFinite(age) ? age : undefined,
			members: [...instances.all()],
		};
	}

	/** Fetches snapshots from the seeds in order until one of them provided a catalog, as after a start while the store is unavailable. */
	async syncFromSeeds(seeds: readonly string[]): Promise<void> {
		for (const seed of seeds) {
			const isSynced = seed !== this.dependencies.self.peers && await this.syncFrom(seed); // eslint-disable-line no-await-in-loop
			if (isSynced && this.dependencies.catalog.version >= 0) {
				return;
			}
		}
	}

	private getListAge(now: number): number {
		return now - this.dependencies.directory.lastReadAt;
	}

	private suspect(incarnationId: string, reason: string, now: number): void {
		const server = this.dependencies.directory.all().find(listed => getIncarnationId(listed) === incarnationId);
		if (server && this.dependencies.serverHealth.suspect(server, reason, now)) {
			this.dependencies.onSuspicion(server, reason);
		}
	}

	private sendToAll(): void {
		const message = this.createMessage();
		for (const recipient of this.selectRecipients()) {
			if (!this.sending.has(recipient.id)) {
				void this.send(recipient, message);
			}
		}
	}

	private createMessage(): GossipMessage {
		const {self, serverLoad, catalog, lease, timers} = this.dependencies;
		const now = timers.now();
		const listAge = this.getListAge(now);
		const message = {
			from: self.id,
			loads: Object.fromEntries(serverLoad.getTokensByIncarnation()),
			suspicions: this.suspicions,
			ranges: this.ranges,
			listAge: Number.isFinite(listAge) ? Math.round(listAge) : -1,
			placing: lease.isHeld(now) ? lease.fencing : 0,
			version: catalog.version,
		};
		this.suspicions = [];
		this.ranges = [];
		return message;
	}

	/** Selects all instances of the own availability zone, and random ones of the other zones. */
	private selectRecipients(): readonly RegisteredInstance[] {
		const {self, instances, random} = this.dependencies;
		const others = instances.all().filter(({id}) => id !== self.id);
		const near = others.filter(({availabilityZone}) => availabilityZone === self.availabilityZone);
		const far = others.filter(({availabilityZone}) => availabilityZone !== self.availabilityZone);
		while (far.length > this.timings.fanout) {
			far.splice(random.nextInteger(far.length), 1);
		}

		return [...near, ...far];
	}

	private async send(recipient: RegisteredInstance, message: GossipMessage): Promise<void> {
		this.sending.add(recipient.id);
		try {
			await this.dependencies.clients.send(recipient.peers, message);
		} catch (error) {
			this.dependencies.metrics.count('siskinnotch_news_failures');
			this.dependencies.log.write('peers.not_told', {peer: recipient.id, reason: getErrorMessage(error)});
		} finally {
			this.sending.delete(recipient.id);
		}
	}

	/** Merges the snapshot of another instance; returns whether it was fetched. Does nothing while another fetch is in progress. */
	private async syncFrom(address: string): Promise<boolean> {
		const {clients, catalog, log, directory, timers, instances} = this.dependencies;
		if (this.isSyncing) {
			return false;
		}

		this.isSyncing = true;
		try {
			const requestedAt = timers.now();
			const snapshot = await clients.fetchSnapshot(address, catalog.version);
			if (snapshot.catalog !== undefined) {
				this.dependencies.applyCatalog(snapshot.catalog, address);
			}

			instances.merge(snapshot.members);
			if (snapshot.serversAge !== undefined) {
				directory.applyReading({servers: snapshot.servers, requestedAt: requestedAt - snapshot.serversAge, mayBeIncomplete: true});
			}

			return true;
		} catch (error) {
			log.write('peers.no_snapshot', {peer: address, reason: getErrorMessage(error)});
			return false;
		} finally {
			this.isSyncing = false;
		}
	}
}
