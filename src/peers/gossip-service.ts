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
import {ClearedAnswers} from './cleared-answers.js';
import {type CrashRumors} from './crash-rumors.js';
import {type GossipClients} from './gossip-clients.js';
import {type GossipMessage} from './gossip-message.js';
import {type GossipReceiver} from './gossip-procedures.js';
import {type LimitExchange} from './limit-exchange.js';
import {type Fanout, type PartnerSelector} from './partner-selector.js';
import {type PeerLoads} from './peer-loads.js';
import {measureTokens} from './measured-tokens.js';
import {type PlacementHolder} from './placement-holder.js';
import {type QuarantineExchange} from './quarantine-exchange.js';
import {RowFetcher, type RowFetchTimings} from './row-fetcher.js';
import {type ServerRumors} from './server-rumors.js';
import {type SlowdownExchange} from './slowdown-exchange.js';
import {SpreadScheduler} from './spread-scheduler.js';
import {type TableExchange} from './table-exchange.js';
import {transitAllowanceMs} from './transit-allowance.js';
import {type WaitingExchange} from './waiting-exchange.js';

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
	readonly slowdownExchange: SlowdownExchange;
	/** Undefined if what waits is not exchanged. */
	readonly waitingExchange?: WaitingExchange;
	readonly serverLoad: ServerLoad;
	readonly placementHolder: PlacementHolder;
	readonly peerPaths: PeerPaths;
	readonly timers: TimerService;
	readonly random: RandomSource;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
};

/** Timings and bounds of gossip. */
export type GossipTimings = RowFetchTimings & {
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
	/** Milliseconds for which news is collected before it is sent. */
	readonly spreadDelay: number;
	/** Least time in milliseconds after which an instance answers a report that others may have answered; at most twice that. */
	readonly answerDelay: number;
};

/** Instances of other availability zones that are contacted in a round at most. */
const maxFarContacts = 2;
/** Instances of other availability zones that the holder of the placement lease contacts in each round. */
const holderFanout: Fanout = {near: 0, far: 2};

/**
Exchanges loads, suspicions, ordered ranges, reports of crashes, quarantines, limits and slowdowns of backend servers and the rows of the store's tables with other instances.

Each instance contacts a fixed number of others in each round, and passes news on as soon as it first receives it, so that its work does not grow with their number (A. Demers et al., Epidemic algorithms for replicated database maintenance, PODC 1987).
*/
export class GossipService implements GossipReceiver {
	/** Ids of the instances to which a message is in flight; they get no second one meanwhile. */
	private readonly contacting = new Set<string>();
	private heardAt = Number.NEGATIVE_INFINITY;
	private readonly rowFetcher: RowFetcher;
	private readonly spreadScheduler: SpreadScheduler;
	private readonly clearedAnswers: ClearedAnswers;

	constructor(private readonly dependencies: GossipServiceDependencies, private readonly timings: GossipTimings) {
		const {self, instances, tables, crashRumors, random, timers} = dependencies;
		this.spreadScheduler = new SpreadScheduler(timers, timings.spreadDelay, fanout => {
			this.contactPartners(fanout);
		});
		this.clearedAnswers = new ClearedAnswers({
			crashRumors, countInstances: () => instances.all().length, random, timers, onNews: () => {
				this.spreadScheduler.schedule(timings.rumorFanout);
			},
		}, timings.answerDelay);
		this.rowFetcher = new RowFetcher({
			availabilityZone: self.availabilityZone, tables, timers, fetch: async ({peers, availabilityZone}) => this.contact(peers, {zone: availabilityZone, wantsRows: true}),
		}, timings);
	}

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
		if (rumors.addSuspicion(server, {isBlocking, reason}, timers.now())) {
			this.spreadScheduler.schedule(this.timings.rumorFanout);
		}
	}

	/** Reports to the other instances that a backend server loaded a range by order. */
	reportRange(server: BackendServer, range: LayerRange): void {
		this.dependencies.rumors.addRange(server, range, this.dependencies.timers.now());
		this.spreadScheduler.schedule(this.timings.rumorFanout);
	}

	/** Reports to the other instances that this one saw a backend server crash. */
	reportCrash(report: CrashReport): void {
		this.dependencies.crashRumors.addCrash(report, this.dependencies.timers.now());
		this.spreadScheduler.schedule(this.timings.rumorFanout);
	}

	/** Reports to the other instances that this one saw suspected prompt parts work. */
	reportCleared(parts: readonly string[]): void {
		this.clearedAnswers.answer(parts);
	}

	/** Passes a limit that a backend server named or lifted on to the other instances. */
	reportLimitChange(): void {
		this.spreadScheduler.schedule(this.timings.rumorFanout);
	}

	/** Tells the other instances that the store refuses this one or serves it again. */
	reportStoreAccess(): void {
		this.spreadScheduler.schedule(this.timings.rumorFanout);
	}

	/** Passes a change of a table on to the other instances. */
	reportTableChange(name: TableName, previous: TablePosition | undefined): void {
		this.dependencies.tables.recordChange(name, previous, this.dependencies.timers.now());
		this.spreadScheduler.schedule(this.timings.tableFanout);
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
		this.receive(message);
		const {from, reportAges = ''} = message;
		const {furtherUpdates, ...answer} = this.createMessage(from.availabilityZone, message.wantsRows);
		return {
			...answer,
			loads: [...answer.loads, ...peerLoads.selectReports(from.availabilityZone, reportAges, timers.now())],
			...(from.availabilityZone === self.availabilityZone || message.wantsRows ? tables.getMissingUpdates(message, timers.now()) : {updates: {}}),
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
		const {self, tables, peerLoads, rumors, crashRumors, limitExchange, quarantineExchange, slowdownExchange, placementHolder, peerPaths, timers} = this.dependencies;
		const now = timers.now();
		return {
			from: self,
			...tables.describe(now),
			...(recipientZone === self.availabilityZone ? tables.getRecentUpdates(now) : {updates: {}}),
			// The form of the report depends on the recipient's zone, which is not known of a seed.
			loads: recipientZone === undefined ? [] : [peerLoads.createOwnReport(measureTokens(this.dependencies.serverLoad), recipientZone, now)],
			...rumors.getCurrent(now),
			...crashRumors.getCurrent(now),
			...limitExchange.getCurrent(isRecipientJoining, now),
			...quarantineExchange.getCurrent(isRecipientJoining),
			...slowdownExchange.getCurrent(now),
			...this.dependencies.waitingExchange?.getCurrent(recipientZone, now),
			placing: placementHolder.describe(now),
			...(peerPaths.isSelfPartitioned && {isPartitioned: true}),
		};
	}

	private receive(message: GossipMessage): void {
		const {instances, partners, peerLoads, rumors, crashRumors, limitExchange, quarantineExchange, slowdownExchange, tables, placementHolder, peerPaths, timers, log} = this.dependencies;
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
		slowdownExchange.receive(message, now);
		this.dependencies.waitingExchange?.receive(message, now);
		const isRumorNew = rumors.receive(message, now);
		if (crashRumors.receive(message, now) || isRumorNew) {
			this.spreadScheduler.schedule(this.timings.rumorFanout);
		}

		const {isChanged, isBehind, unpackingError} = tables.receive(message, now);
		if (unpackingError !== undefined) {
			log.warn('table.not_unpacked', {from: message.from.id, reason: unpackingError});
		}

		if (isBehind) {
			this.rowFetcher.catchUpWith(message.from);
		}

		if (isChanged) {
			this.spreadScheduler.schedule(this.timings.tableFanout);
		}
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
}
