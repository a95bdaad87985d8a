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

/** The parts of a news desk. */
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
	/** Puts the text of a catalog that another instance has in force. */
	readonly applyCatalog: (text: string, from: string) => void;
	/** Called when a backend server is suspected because of what others found. */
	readonly onSuspicion: (server: BackendServer, reason: string) => void;
};

/** Bounds of telling others. */
export type GossipTimings = {
	/** Milliseconds between rounds. */
	readonly period: number;
	/** Instances of other availability zones that are told in a round. */
	readonly fanout: number;
	/** Milliseconds by which another instance's list must be newer to be asked for. */
	readonly staleness: number;
};

type Suspicion = GossipMessage['suspicions'][number];
type Range = GossipMessage['ranges'][number];

/** Tells the other instances this one's part of the load and what it found broken, and takes over what they tell. */
export class GossipService implements GossipReceiver {
	private suspicions: Suspicion[] = [];
	private ranges: Range[] = [];
	private readonly busy = new Set<string>();
	private isLearning = false;
	private placingHeardAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly dependencies: GossipServiceDependencies, private readonly times: GossipTimings) {}

	/** Begins to tell. */
	start(): void {
		this.dependencies.timers.repeat(this.times.period, () => {
			this.tellAll();
		});
	}

	/** This instance found a backend server broken; the others hear of it at once. */
	reportSuspicion(server: BackendServer, isBlocking: boolean, reason: string): void {
		this.suspicions.push({life: getIncarnationId(server), isBlocking, reason});
		this.tellAll();
	}

	/** A backend server took on a range by order; the others hear of it at once. */
	reportRange(server: BackendServer, {from, to}: LayerRange): void {
		this.ranges.push({life: getIncarnationId(server), from, to});
		this.tellAll();
	}

	receive(news: GossipMessage): void {
		const {peerLoads: loads, suspicionQuorum: board, timers, catalog} = this.dependencies;
		const now = timers.now();
		loads.update(news.from, news.loads, now);
		if (news.placing > 0) {
			this.placingHeardAt = now;
			this.dependencies.lease.observeOtherHolder(news.placing);
		}

		for (const {life, isBlocking, reason} of news.suspicions) {
			if (board.report({incarnationId: life, isBlocking, from: news.from}, now)) {
				this.suspect(life, `${news.from}: ${reason}`, now);
			}
		}

		for (const {life, from, to} of news.ranges) {
			this.dependencies.directory.overrideRange(life, {from, to});
		}

		const isListNewer = news.listAge >= 0 && this.listAge(now) - news.listAge > this.times.staleness;
		const sender = this.dependencies.instances.all().find(({id}) => id === news.from);
		if (sender && (isListNewer || news.version > catalog.version)) {
			void this.learnFrom(sender.peers);
		}
	}

	/** Monotonic time at which another instance last said that it holds the lease for placement. */
	get placementHolderHeardAt(): number {
		return this.placingHeardAt;
	}

	createSnapshot(version: number): InstanceSnapshot {
		const {catalog, directory, instances: members, timers} = this.dependencies;
		const age = this.listAge(timers.now());
		return {
			catalog: catalog.version > version ? catalog.current?.catalog.text : undefined,
			servers: [...directory.all()],
			serversAge: Number.isFinite(age) ? age : undefined,
			members: [...members.all()],
		};
	}

	/** Learns from the first of some instances that answers, as after a start while the store is away. */
	async syncFromSeeds(seeds: readonly string[]): Promise<void> {
		for (const seed of seeds) {
			const isLearnt = seed !== this.dependencies.self.peers && await this.learnFrom(seed); // eslint-disable-line no-await-in-loop
			if (isLearnt && this.dependencies.catalog.version >= 0) {
				return;
			}
		}
	}

	private listAge(now: number): number {
		return now - this.dependencies.directory.lastReadAt;
	}

	private suspect(life: string, reason: string, now: number): void {
		const server = this.dependencies.directory.all().find(listed => getIncarnationId(listed) === life);
		if (server && this.dependencies.serverHealth.suspect(server, reason, now)) {
			this.dependencies.onSuspicion(server, reason);
		}
	}

	private tellAll(): void {
		const news = this.nextNews();
		for (const member of this.listeners()) {
			if (!this.busy.has(member.id)) {
				void this.tell(member, news);
			}
		}
	}

	private nextNews(): GossipMessage {
		const {self, serverLoad: load, catalog, lease, timers} = this.dependencies;
		const now = timers.now();
		const listAge = this.listAge(now);
		const news = {
			from: self.id,
			loads: Object.fromEntries(load.getTokensByIncarnation()),
			suspicions: this.suspicions,
			ranges: this.ranges,
			listAge: Number.isFinite(listAge) ? Math.round(listAge) : -1,
			placing: lease.isHeld(now) ? lease.fencing : 0,
			version: catalog.version,
		};
		this.suspicions = [];
		this.ranges = [];
		return news;
	}

	/** All instances of the own availability zone, and some of the others. */
	private listeners(): readonly RegisteredInstance[] {
		const {self, instances: members, random} = this.dependencies;
		const others = members.all().filter(({id}) => id !== self.id);
		const near = others.filter(({availabilityZone}) => availabilityZone === self.availabilityZone);
		const far = others.filter(({availabilityZone}) => availabilityZone !== self.availabilityZone);
		while (far.length > this.times.fanout) {
			far.splice(random.nextInteger(far.length), 1);
		}

		return [...near, ...far];
	}

	private async tell(member: RegisteredInstance, news: GossipMessage): Promise<void> {
		this.busy.add(member.id);
		try {
			await this.dependencies.clients.send(member.peers, news);
		} catch (error) {
			this.dependencies.metrics.count('siskinnotch_news_failures');
			this.dependencies.log.write('peers.not_told', {peer: member.id, reason: getErrorMessage(error)});
		} finally {
			this.busy.delete(member.id);
		}
	}

	/** Learns from an instance what this one cannot read itself. */
	private async learnFrom(address: string): Promise<boolean> {
		const {clients: links, catalog, log, directory, timers, instances: members} = this.dependencies;
		if (this.isLearning) {
			return false;
		}

		this.isLearning = true;
		try {
			const askedAt = timers.now();
			const snapshot = await links.fetchSnapshot(address, catalog.version);
			if (snapshot.catalog !== undefined) {
				this.dependencies.applyCatalog(snapshot.catalog, address);
			}

			members.merge(snapshot.members);
			if (snapshot.serversAge !== undefined) {
				directory.applyReading({servers: snapshot.servers, requestedAt: askedAt - snapshot.serversAge, mayBeIncomplete: true});
			}

			return true;
		} catch (error) {
			log.write('peers.no_snapshot', {peer: address, reason: getErrorMessage(error)});
			return false;
		} finally {
			this.isLearning = false;
		}
	}
}
