import {type InstanceRegistry, type RegisteredInstance} from '../entry/instance-registry.js';
import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {type BackendServer} from '../pipelines/backend-server.js';
import {type LayerRange} from '../pipelines/layer-range.js';
import {type ServerLoad} from '../pipelines/server-load.js';
import {type TableName} from '../replication/table-name.js';
import {type TablePosition} from '../replication/table-position.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type CrashReport} from '../quarantine/crash-report.js';
import {type RandomSource} from '../routing/random-source.js';
import {type TimerService} from '../time/timer-service.js';
import {type PeerPaths} from '../tunnels/peer-paths.js';
import {type ByteBudget} from './byte-budget.js';
import {CallFailure} from './call-failure.js';
import {type CrashRumors} from './crash-rumors.js';
import {type GossipClients} from './gossip-clients.js';
import {type GossipMessage} from './gossip-message.js';
import {type GossipReceiver} from './gossip-procedures.js';
import {type LimitExchange} from './limit-exchange.js';
import {type Fanout, type PartnerSelector} from './partner-selector.js';
import {type PeerLoads} from './peer-loads.js';
import {getIdDigest} from './id-digest.js';
import {type PlacementHolder} from './placement-holder.js';
import {type QuarantineExchange} from './quarantine-exchange.js';
import {type ServerRumors} from './server-rumors.js';
import {transitAllowanceMs, type TableExchange} from './table-exchange.js';

export type GossipServiceDependencies = {
	readonly self: RegisteredInstance;
	readonly instances: InstanceRegistry;
	readonly clients: Pick<GossipClients, 'exchange' | 'traffic'>;
	readonly byteBudget: ByteBudget;
	readonly partners: PartnerSelector;
	readonly tables: TableExchange;
	readonly peerLoads: PeerLoads;
	readonly rumors: ServerRumors;
	readonly crashRumors: CrashRumors;
	readonly limitExchange: LimitExchange;
	readonly quarantineExchange: QuarantineExchange;
	readonly serverLoad: ServerLoad;
	readonly placementHolder: PlacementHolder;
	readonly peerPaths: PeerPaths;
	readonly timers: TimerService;
	readonly random: RandomSource;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
};

/** Timings and bounds of gossip. */
export type GossipTimings = {
	/** Milliseconds between rounds of messages. */
	readonly period: number;
	/** Largest number of instances that are contacted in a periodic round. */
	readonly maxRoundContacts: number;
	/** Number of instances that are contacted when a suspicion or a range is new. */
	readonly rumorFanout: Fanout;
	/** Number of instances that are contacted when a table changed. Other availability zones have readers of their own. */
	readonly tableFanout: Fanout;
	/** Number of instances of an availability zone that contact other zones in a round, on average. */
	readonly farContactsPerZone: number;
	/** Milliseconds that the own availability zone has to bring rows before they are fetched from another one. */
	readonly remoteFetchDelay: number;
	/** Milliseconds after which rows are also fetched from another instance than the one that is sending them. */
	readonly fetchPatience: number;
	/** Milliseconds for which news is collected before it is sent. */
	readonly spreadDelay: number;
};

/** Instances of other availability zones that are contacted in a round at most. */
const maxFarContacts = 2;

/** Instances from which rows are fetched at a time. */
const maxFetches = 3;

/** Instances of other availability zones that the holder of the placement lease contacts in each round. */
const holderFanout: Fanout = {near: 0, far: 2};

/**
Exchanges loads, suspicions, ordered ranges, reports of crashes, quarantines, limits of backend servers and the rows of the store's tables with other instances.

Each instance contacts a fixed number of others in each round, and passes news on as soon as it first receives it, so that its work does not grow with their number (A. Demers et al., Epidemic algorithms for replicated database maintenance, PODC 1987).
*/
export class GossipService implements GossipReceiver {
	/** Ids of the instances to which a message is in flight; they get no second one meanwhile. */
	private readonly contacting = new Set<string>();
	private scheduledFanout?: Fanout;
	/** Ids of the instances from which rows are being fetched. */
	private readonly fetches = new Set<string>();
	/** Monotonic time in milliseconds at which the latest fetch began. */
	private fetchedAt = Number.NEGATIVE_INFINITY;
	/** The latest instance that had rows which this one lacked while it was fetching. */
	private nextSender?: RegisteredInstance;
	private isRemoteFetchScheduled = false;
	private heardAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly dependencies: GossipServiceDependencies, private readonly timings: GossipTimings) {}

	/** Starts the periodic rounds. */
	start(): void {
		const {timers, placementHolder} = this.dependencies;
		timers.repeat(this.timings.period, () => {
			this.contactPartners(this.selectRoundFanout());
			if (placementHolder.isSelf(timers.now())) {
				this.contactPartners(holderFanout);
			}
		});
	}

	/** Reports to the other instances that this one found a backend server not to work. */
	reportSuspicion(server: BackendServer, isBlocking: boolean, reason: string): void {
		const {rumors, timers} = this.dependencies;
		rumors.addSuspicion(server, {isBlocking, reason}, timers.now());
		this.scheduleSpread(this.timings.rumorFanout);
	}

	/** Reports to the other instances that a backend server loaded a range by order. */
	reportRange(server: BackendServer, range: LayerRange): void {
		const {rumors, timers} = this.dependencies;
		rumors.addRange(server, range, timers.now());
		this.scheduleSpread(this.timings.rumorFanout);
	}

	/** Reports to the other instances that this one saw a backend server crash. */
	reportCrash(report: CrashReport): void {
		const {crashRumors, timers} = this.dependencies;
		crashRumors.addCrash(report, timers.now());
		this.scheduleSpread(this.timings.rumorFanout);
	}

	/** Reports to the other instances that this one saw suspected prompt parts work. */
	reportCleared(parts: readonly string[]): void {
		const {crashRumors, timers} = this.dependencies;
		crashRumors.addCleared(parts, timers.now());
		this.scheduleSpread(this.timings.rumorFanout);
	}

	/** Passes a limit that a backend server named or lifted on to the other instances. */
	reportLimitChange(): void {
		this.scheduleSpread(this.timings.rumorFanout);
	}

	/** Passes a change of a table on to the other instances. */
	reportTableChange(name: TableName, previous: TablePosition | undefined): void {
		this.dependencies.tables.recordChange(name, previous, this.dependencies.timers.now());
		this.scheduleSpread(this.timings.tableFanout);
	}

	/** Monotonic time in milliseconds at which another instance was last heard from; -Infinity before the first time. */
	get peerHeardAt(): number {
		return this.heardAt;
	}

	/** Monotonic time in milliseconds of the newest known sign of an instance that holds the placement lease; -Infinity before the first one. */
	get placementHolderHeardAt(): number {
		return this.dependencies.placementHolder.heardAt;
	}

	exchange(message: GossipMessage): GossipMessage {
		const {self, tables, peerLoads, timers} = this.dependencies;
		const isNear = message.from.availabilityZone === self.availabilityZone;
		this.receive(message);
		const {from, reportAges = ''} = message;
		const {furtherUpdates, ...answer} = this.createMessage(from.availabilityZone, message.wantsRows);
		return {
			...answer,
			loads: [...answer.loads, ...peerLoads.selectReports(from.availabilityZone, reportAges, timers.now())],
			...(isNear || message.wantsRows ? tables.getMissingUpdates(message, timers.now()) : {updates: {}}),
		};
	}

	/** Contacts the addresses in random order until one of them answers, as after the start. Returns whether one answered. */
	async join(addresses: readonly string[]): Promise<boolean> {
		for (const address of addresses) {
			if (address !== this.dependencies.self.peers && await this.contact(address, {wantsRows: true})) { // eslint-disable-line no-await-in-loop
				return true;
			}
		}

		return false;
	}

	/** Returns the fanout of a periodic round, within the budget of bytes. In a large availability zone, only some instances contact other zones. */
	private selectRoundFanout(): Fanout {
		const {maxRoundContacts, farContactsPerZone} = this.timings;
		const {instances, random, byteBudget, clients, timers} = this.dependencies;
		const contacts = byteBudget.countAffordable(maxRoundContacts, clients.traffic, timers.now());
		const neighbours = instances.findNeighbours().length;
		const far = random.nextFraction() * (neighbours + 1) < farContactsPerZone ? 1 : 0;
		const near = Math.min(neighbours, contacts - far);
		// An instance with few neighbours contacts more instances of other zones.
		return {near, far: Math.min(contacts, Math.max(far, Math.min(maxFarContacts, contacts - near)))};
	}

	/** Creates a message with this instance's own load, and with the news that its recipient may lack. */
	private createMessage(recipientZone: string | undefined, isRecipientJoining = false): GossipMessage {
		const {self, tables, peerLoads, rumors, crashRumors, limitExchange, quarantineExchange, placementHolder, peerPaths, timers} = this.dependencies;
		const now = timers.now();
		return {
			from: self,
			...tables.describe(now),
			...(recipientZone === self.availabilityZone ? tables.getRecentUpdates(now) : {updates: {}}),
			// The form of the report depends on the recipient's zone, which is not known of a seed.
			loads: recipientZone === undefined ? [] : [peerLoads.createOwnReport(this.measureTokens(), recipientZone, now)],
			...rumors.getCurrent(now),
			...crashRumors.getCurrent(now),
			...limitExchange.getCurrent(isRecipientJoining, now),
			...quarantineExchange.getCurrent(isRecipientJoining),
			placing: placementHolder.describe(now),
			...(peerPaths.isSelfPartitioned && {isPartitioned: true}),
		};
	}

	/** Returns the tokens that this instance's requests hold, by digest of the backend server's incarnation. */
	private measureTokens(): ReadonlyMap<string, number> {
		const tokens = [...this.dependencies.serverLoad.getTokensByIncarnation()];
		return new Map(tokens.map(([incarnationId, count]) => [getIdDigest(incarnationId), count]));
	}

	private receive(message: GossipMessage): void {
		const {instances, partners, peerLoads, rumors, crashRumors, limitExchange, quarantineExchange, tables, placementHolder, peerPaths, timers, log} = this.dependencies;
		const now = timers.now();
		this.heardAt = now;
		partners.recordContact(message.from.id);
		peerPaths.record(message.from.id, message.isPartitioned ?? false, now);
		instances.recordContact(message.from);
		peerLoads.update(message.loads, now);
		if (message.placing) {
			placementHolder.receive({fencing: message.placing.fencing, seenAt: now - message.placing.age - transitAllowanceMs});
		}

		limitExchange.receive(message, now);
		quarantineExchange.receive(message);
		const isRumorNew = rumors.receive(message, now);
		if (crashRumors.receive(message, now) || isRumorNew) {
			this.scheduleSpread(this.timings.rumorFanout);
		}

		const {isChanged, isBehind, unpackingError} = tables.receive(message, now);
		if (unpackingError !== undefined) {
			log.warn('table.not_unpacked', {from: message.from.id, reason: unpackingError});
		}

		if (isBehind) {
			this.catchUpWith(message.from);
		}

		if (isChanged) {
			this.scheduleSpread(this.timings.tableFanout);
		}
	}

	/** Fetches the rows that another instance has and this one lacks. Those of another availability zone are fetched only if the own zone does not bring them soon. */
	private catchUpWith(sender: RegisteredInstance): void {
		const {self, timers} = this.dependencies;
		if (sender.availabilityZone === self.availabilityZone) {
			void this.fetchRows(sender);
			return;
		}

		if (this.isRemoteFetchScheduled) {
			return;
		}

		this.isRemoteFetchScheduled = true;
		timers.after(this.timings.remoteFetchDelay, () => {
			this.isRemoteFetchScheduled = false;
			if (this.dependencies.tables.isLackingRows()) {
				void this.fetchRows(sender);
			}
		});
	}

	/** Contacts partners soon; news that arrives until then is sent along. */
	private scheduleSpread(fanout: Fanout): void {
		if (this.scheduledFanout) {
			this.scheduledFanout = {near: Math.max(fanout.near, this.scheduledFanout.near), far: Math.max(fanout.far, this.scheduledFanout.far)};
			return;
		}

		this.scheduledFanout = fanout;
		this.dependencies.timers.after(this.timings.spreadDelay, () => {
			const scheduled = this.scheduledFanout!;
			this.scheduledFanout = undefined;
			this.contactPartners(scheduled);
		});
	}

	private contactPartners(fanout: Fanout): void {
		const {partners, instances, timers} = this.dependencies;
		for (const partner of partners.select(instances.all(), fanout, timers.now())) {
			if (!this.contacting.has(partner.id)) {
				void this.contactPartner(partner);
			}
		}
	}

	private async contactPartner(partner: RegisteredInstance): Promise<void> {
		const {partners, timers} = this.dependencies;
		this.contacting.add(partner.id);
		const isAnswered = await this.contact(partner.peers, {zone: partner.availabilityZone});
		this.contacting.delete(partner.id);
		if (!isAnswered) {
			partners.recordFailure(partner.id, timers.now());
		}
	}

	/** Exchanges messages with an instance; returns whether it answered. */
	private async contact(address: string, {zone, wantsRows = false}: {zone?: string; wantsRows?: boolean}): Promise<boolean> {
		const {clients, metrics, log, peerLoads, tables, timers} = this.dependencies;
		metrics.count('siskinnotch_gossip_calls');
		try {
			const reportAges = zone === undefined ? '' : peerLoads.packAges(zone, timers.now());
			this.receive(await clients.exchange(address, {
				...this.createMessage(zone), ...(reportAges !== '' && {reportAges}), ...(wantsRows && {wantsRows, packing: tables.packing}),
			}));
			return true;
		} catch (error) {
			metrics.count('siskinnotch_news_failures');
			log.write('peers.not_told', {
				peer: address, reason: getErrorMessage(error), ...(error instanceof CallFailure && {afterMs: error.afterMs, receivedBytes: error.receivedBytes}),
			});
			return false;
		}
	}

	/** Fetches the rows that another instance has and this one lacks. If that takes long, they are also fetched from the next ones that have them, but only from a few at a time. */
	private async fetchRows(sender: RegisteredInstance): Promise<void> {
		const {timers, tables} = this.dependencies;
		const isPatient = this.fetches.size > 0 && timers.now() - this.fetchedAt < this.timings.fetchPatience;
		if (isPatient || this.fetches.has(sender.id) || this.fetches.size >= maxFetches) {
			this.nextSender = sender;
			return;
		}

		this.fetchedAt = timers.now();
		this.fetches.add(sender.id);
		timers.after(this.timings.fetchPatience, () => {
			if (this.nextSender && tables.isLackingRows()) {
				void this.fetchRows(this.nextSender);
			}
		});
		await this.contact(sender.peers, {zone: sender.availabilityZone, wantsRows: true});
		this.fetches.delete(sender.id);
	}
}
