import {type ActiveCatalog} from '../catalog/active-catalog.js';
import {type Service} from '../catalog/service.js';
import {type Lease} from '../leases/lease.js';
import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';
import {type EngineModel} from '../pipelines/engine-model.js';
import {isSameRange, getLayerCount, type LayerRange} from '../pipelines/layer-range.js';
import {groupByZone} from '../pipelines/pipeline-selector.js';
import {type ServerHealthTracker} from '../pipelines/server-health-tracker.js';
import {type ServerDirectory} from '../pipelines/server-directory.js';
import {type StageReporter} from '../pipelines/stage-reporter.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type TimerService} from '../time/timer-service.js';
import {planInitialPlacement, computeTargetCapacity, type Placement} from './initial-placement.js';
import {OrderOutcome, type OrderSender} from './order-sender.js';
import {planRepair} from './repair-plan.js';

/** The parts of a placement desk. */
export type PlacementControllerDependencies = {
	readonly lease: Lease;
	readonly catalog: ActiveCatalog;
	readonly directory: ServerDirectory;
	readonly serverHealth: ServerHealthTracker;
	readonly reporter: StageReporter;
	readonly sender: OrderSender;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
	/** Called when a server is known to hold a range that it was ordered to hold. */
	readonly onRangeConfirmed: (server: BackendServer, range: LayerRange) => void;
};

/** Times of placement, in milliseconds. */
export type PlacementTimings = {
	/** How long no new server must have been listed before the first placement. */
	readonly settlingTime: number;
	/** How long an empty server is kept for a gap before it strengthens other layers. */
	readonly reserveTime: number;
	/** How long a server that refused an order is left alone. */
	readonly refusalBackoff: number;
	/** Between questions whether an order has been carried out. */
	readonly checkInterval: number;
	/** How long after an order its result must show, beside the time of loading. */
	readonly orderTimeout: number;
};

type PendingOrder = {
	readonly range: LayerRange;
	readonly until: number;
};

/** Decides which layers each backend server holds, and orders it, while this instance holds the lease for it. */
export class PlacementController {
	private readonly pending = new Map<string, PendingOrder>();
	private readonly refusedAt = new Map<string, number>();
	private readonly seenAt = new Map<string, number>();

	/**
	@param share - part of a server's places for whose requests its memory shall have room
	*/
	constructor(private readonly dependencies: PlacementControllerDependencies, private readonly times: PlacementTimings, private readonly share: number) {}

	/** Looks at all services and gives the orders that are due. */
	reconcile(): void {
		const {lease, catalog, timers, directory} = this.dependencies;
		const now = timers.now();
		this.noteNew(directory.all(), now);
		if (!lease.mayAct(now) || !catalog.current) {
			return;
		}

		for (const service of catalog.current.catalog.services.values()) {
			if (service.engine) {
				this.advanceService(service, service.engine, now);
			}
		}
	}

	private noteNew(servers: readonly BackendServer[], now: number): void {
		const lives = new Set(servers.map(server => getIncarnationId(server)));
		for (const life of lives) {
			if (!this.seenAt.has(life)) {
				this.seenAt.set(life, now);
			}
		}

		for (const life of this.seenAt.keys()) {
			if (!lives.has(life)) {
				this.seenAt.delete(life);
				this.pending.delete(life);
				this.refusedAt.delete(life);
			}
		}
	}

	private advanceService({name}: Service, model: EngineModel, now: number): void {
		const servers = this.dependencies.directory.usable(name).filter(server => this.dependencies.serverHealth.isHealthy(server));
		this.forgetFulfilled(servers, now);
		const isEmpty = servers.every(server => !this.rangeOf(server));
		if (isEmpty) {
			this.placeAll(servers, model, now);
			return;
		}

		for (const members of groupByZone(servers).values()) {
			this.repair(members, model, now);
		}
	}

	private rangeOf(server: BackendServer): LayerRange | undefined {
		return this.pending.get(getIncarnationId(server))?.range ?? server.range;
	}

	private forgetFulfilled(servers: readonly BackendServer[], now: number): void {
		for (const server of servers) {
			const life = getIncarnationId(server);
			const order = this.pending.get(life);
			if (order && (isSameRange(order.range, server.range) || now > order.until)) {
				this.pending.delete(life);
			}
		}
	}

	private placeAll(servers: readonly BackendServer[], model: EngineModel, now: number): void {
		const newest = Math.max(...servers.map(server => this.seenAt.get(getIncarnationId(server)) ?? now));
		if (servers.length === 0 || now - newest < this.times.settlingTime) {
			return;
		}

		const leftOver: BackendServer[] = [];
		for (const [zone, members] of groupByZone(servers)) {
			const placements = planInitialPlacement(members, model, computeTargetCapacity(model, this.share));
			if (placements.length === 0) {
				leftOver.push(...members);
			}

			this.order(placements, model, now, `first placement of zone ${zone}`);
		}

		this.order(planInitialPlacement(leftOver, model, computeTargetCapacity(model, this.share)), model, now, 'first placement across zones');
	}

	private repair(members: readonly BackendServer[], model: EngineModel, now: number): void {
		if (members.every(server => !this.rangeOf(server))) {
			this.order(planInitialPlacement(members, model, computeTargetCapacity(model, this.share)), model, now, 'placement of an empty zone');
			return;
		}

		const mayStrengthen = members.every(server => this.rangeOf(server) !== undefined || now - (this.seenAt.get(getIncarnationId(server)) ?? now) >= this.times.reserveTime);
		const holdings = members.map(server => ({server, range: this.rangeOf(server), isLoaded: !this.pending.has(getIncarnationId(server))}));
		const moves = planRepair(holdings, model, {targetCapacity: computeTargetCapacity(model, this.share), mayUseIdleServers: mayStrengthen});
		this.order(moves.filter(({server}) => this.mayOrder(server, now)), model, now, 'repair');
	}

	private mayOrder(server: BackendServer, now: number): boolean {
		const life = getIncarnationId(server);
		return !this.pending.has(life) && now - (this.refusedAt.get(life) ?? Number.NEGATIVE_INFINITY) >= this.times.refusalBackoff;
	}

	private order(placements: readonly Placement[], model: EngineModel, now: number, reason: string): void {
		const layers = placements.reduce((sum, {range}) => sum + getLayerCount(range), 0);
		const loadTime = model.loadTime * Math.max(1, layers / model.layers);
		for (const placement of placements) {
			this.pending.set(getIncarnationId(placement.server), {range: placement.range, until: now + this.times.orderTimeout + loadTime});
			void this.give(placement, reason);
		}
	}

	private async give(placement: Placement, reason: string): Promise<void> {
		const {log, metrics} = this.dependencies;
		const {server, range} = placement;
		const outcome = await this.orderAsReported(placement);
		metrics.count('siskinnotch_orders', 1, {outcome});
		log.write('placement.ordered', {
			server: server.id,
			card: server.card,
			zone: server.availabilityZone,
			from: range.from,
			to: range.to,
			held: server.range ? `${server.range.from}-${server.range.to}` : undefined,
			reason,
			outcome,
		});
		if (outcome === OrderOutcome.Refused) {
			this.pending.delete(getIncarnationId(server));
			this.refusedAt.set(getIncarnationId(server), this.dependencies.timers.now());
			return;
		}

		await this.followOrder(placement);
	}

	/** Asks the server until it holds the range, so that the instances need not wait for the list. */
	private async followOrder({server, range}: Placement): Promise<void> {
		const {timers, reporter, onRangeConfirmed: onRange, log} = this.dependencies;
		const order = this.pending.get(getIncarnationId(server));
		const held = server.range;
		if (held && range.from >= held.from && range.to <= held.to) {
			// Layers that are given up take no new work from now on.
			onRange(server, range);
			return;
		}

		for (const until = order?.until ?? 0; timers.now() < until;) {
			await timers.sleep(this.times.checkInterval); // eslint-disable-line no-await-in-loop
			try {
				const report = await reporter.fetchReport(server); // eslint-disable-line no-await-in-loop
				if (this.pending.get(getIncarnationId(server)) !== order) {
					// The list shows the result, or a later order changes it again.
					return;
				}

				if (isSameRange(report.range, range) && !report.isBusy) {
					onRange(server, range);
					return;
				}
			} catch (error) {
				log.write('placement.no_report', {server: server.id, reason: getErrorMessage(error)});
			}
		}
	}

	/** Orders over the state that the server itself reports, so that an order that arrives late, after others, is refused. */
	private async orderAsReported(placement: Placement): Promise<OrderOutcome> {
		const {reporter, sender, lease, timers, log} = this.dependencies;
		const {server, range} = placement;
		try {
			const report = await reporter.fetchReport(server);
			if (isSameRange(report.range, range)) {
				return OrderOutcome.Accepted;
			}

			const isOtherLife = report.startedAt !== undefined && report.startedAt !== server.startedAt;
			if (isOtherLife || report.isBusy || !lease.mayAct(timers.now())) {
				return OrderOutcome.Refused;
			}

			return await sender.sendOrder(placement, report.acceptedOrders);
		} catch (error) {
			log.warn('placement.no_report', {server: server.id, reason: getErrorMessage(error)});
			return OrderOutcome.Refused;
		}
	}
}
