import {type Service} from '../catalog/service.js';
import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';
import {type EngineModel} from '../pipelines/engine-model.js';
import {isSameRange, getLayerCount, type LayerRange} from '../pipelines/layer-range.js';
import {groupByZone} from '../pipelines/pipeline-selector.js';
import {QueryReason} from '../pipelines/query-reason.js';
import {getErrorMessage} from '../results/to-failure.js';
import {computeTargetCapacity, type Placement} from './initial-placement.js';
import {OrderOutcome} from './order-sender.js';
import {type PlacementControllerDependencies, type PlacementTimings} from './placement-controller-dependencies.js';
import {type PlacementPlan} from './placement-plan.js';
import {planRepair} from './repair-plan.js';
import {computePlacementFigures, planZonePlacement} from './zone-placement.js';

type PendingOrder = {
	readonly range: LayerRange;
	/** Monotonic time in milliseconds at which the order times out. */
	readonly expiresAt: number;
};

/** Decides which layers each backend server loads, and sends the orders, while this instance may act under the placement lease. */
export class PlacementController {
	private readonly pending = new Map<string, PendingOrder>();
	private readonly refusedAt = new Map<string, number>();
	/** Monotonic time at which each listed incarnation was first seen. */
	private readonly seenAt = new Map<string, number>();
	/** Whether the zones of a service are being placed. */
	private isPlacing = false;

	/**
	@param slotShare - fraction of a server's slots for whose requests its memory should have capacity
	@param plan - how the initial ranges are planned
	*/
	constructor(
		private readonly dependencies: PlacementControllerDependencies,
		private readonly timings: PlacementTimings,
		private readonly slotShare: number,
		private readonly plan: PlacementPlan,
	) {}

	/** Compares the placement of all services with the wanted one, and sends the orders that are due. */
	reconcile(): void {
		const {lease, catalog, timers, directory} = this.dependencies;
		const now = timers.now();
		this.trackListedServers(directory.all(), now);
		if (!lease.mayAct(now) || !catalog.current || this.isPlacing) {
			return;
		}

		for (const service of catalog.current.catalog.services.values()) {
			if (service.engine) {
				this.reconcileService(service, service.engine, now);
			}
		}
	}

	private trackListedServers(servers: readonly BackendServer[], now: number): void {
		const listed = new Set(servers.map(server => getIncarnationId(server)));
		for (const incarnationId of listed) {
			if (!this.seenAt.has(incarnationId)) {
				this.seenAt.set(incarnationId, now);
			}
		}

		for (const incarnationId of this.seenAt.keys()) {
			if (!listed.has(incarnationId)) {
				this.seenAt.delete(incarnationId);
				this.pending.delete(incarnationId);
				this.refusedAt.delete(incarnationId);
			}
		}
	}

	private reconcileService({name}: Service, model: EngineModel, now: number): void {
		const servers = this.dependencies.directory.usable(name).filter(server => this.dependencies.serverHealth.isHealthy(server));
		this.removeCompletedOrders(servers, now);
		const isEmpty = servers.every(server => !this.getTargetRange(server));
		if (isEmpty) {
			this.placeAll(servers, model, now);
			return;
		}

		for (const [zone, members] of groupByZone(servers)) {
			this.repair(`${name} in ${zone}`, members, model, now);
		}
	}

	/** Returns the range that a server has been ordered to load, or else the loaded one. */
	private getTargetRange(server: BackendServer): LayerRange | undefined {
		return this.pending.get(getIncarnationId(server))?.range ?? server.range;
	}

	private removeCompletedOrders(servers: readonly BackendServer[], now: number): void {
		for (const server of servers) {
			const incarnationId = getIncarnationId(server);
			const order = this.pending.get(incarnationId);
			if (order && (isSameRange(order.range, server.range) || now > order.expiresAt)) {
				this.pending.delete(incarnationId);
			}
		}
	}

	private placeAll(servers: readonly BackendServer[], model: EngineModel, now: number): void {
		const newest = Math.max(...servers.map(server => this.seenAt.get(getIncarnationId(server)) ?? now));
		if (servers.length === 0 || now - newest < this.timings.settlingTime) {
			return;
		}

		void this.placeZones(servers, model);
	}

	/** Places zone by zone. A plan takes up to a few hundred milliseconds, so that other work runs in between. */
	private async placeZones(servers: readonly BackendServer[], model: EngineModel): Promise<void> {
		const {lease, timers} = this.dependencies;
		this.isPlacing = true;
		try {
			const unplaced: BackendServer[] = [];
			for (const [zone, members] of groupByZone(servers)) {
				if (!lease.mayAct(timers.now())) {
					return;
				}

				if (!this.placeZone(members, model, timers.now(), `initial placement of zone ${zone}`)) {
					unplaced.push(...members);
				}

				await timers.sleep(0); // eslint-disable-line no-await-in-loop
			}

			if (lease.mayAct(timers.now())) {
				this.placeZone(unplaced, model, timers.now(), 'initial placement across zones');
			}
		} finally {
			this.isPlacing = false;
		}
	}

	/** Orders ranges for servers that have none; returns false if their memory cannot hold the model. */
	private placeZone(servers: readonly BackendServer[], model: EngineModel, now: number, reason: string): boolean {
		const {plan, placements} = planZonePlacement(servers, model, this.slotShare, this.plan);
		if (placements.length === 0) {
			return false;
		}

		this.dependencies.log.write('placement.planned', {
			reason, plan, servers: servers.length, ...computePlacementFigures(servers, placements, model),
		});
		this.startOrders(placements, model, now, reason);
		return true;
	}

	/** @param zone - name of the service and the zone */
	private repair(zone: string, members: readonly BackendServer[], model: EngineModel, now: number): void {
		if (members.every(server => !this.getTargetRange(server))) {
			this.placeZone(members, model, now, 'placement of an empty zone');
			return;
		}

		const mayUseIdleServers = members.every(server => this.getTargetRange(server) !== undefined || now - (this.seenAt.get(getIncarnationId(server)) ?? now) >= this.timings.reserveTime);
		const assignments = members.map(server => ({server, range: this.getTargetRange(server), isLoaded: !this.pending.has(getIncarnationId(server))}));
		const moves = planRepair(assignments, model, {targetCapacity: computeTargetCapacity(model, this.slotShare), mayUseIdleServers});
		this.startOrders(moves.filter(({server}) => this.mayOrder(server, now)), model, now, 'repair');
		if (moves.length === 0) {
			const available = this.dependencies.rebalancer.plan(zone, assignments, model, now).filter(({server}) => this.mayOrder(server, now));
			this.startOrders(available, model, now, 'rebalance');
		}
	}

	private mayOrder(server: BackendServer, now: number): boolean {
		const incarnationId = getIncarnationId(server);
		const sinceRefusal = now - (this.refusedAt.get(incarnationId) ?? Number.NEGATIVE_INFINITY);
		return !this.pending.has(incarnationId) && sinceRefusal >= this.timings.refusalBackoff && !this.dependencies.backpressure.pauses.isPaused(server, now);
	}

	private startOrders(placements: readonly Placement[], model: EngineModel, now: number, reason: string): void {
		const layers = placements.reduce((sum, {range}) => sum + getLayerCount(range), 0);
		const loadTime = model.loadTime * Math.max(1, layers / model.layers);
		for (const placement of placements) {
			this.pending.set(getIncarnationId(placement.server), {range: placement.range, expiresAt: now + this.timings.orderTimeout + loadTime});
			void this.executeOrder(placement, reason);
		}
	}

	private async executeOrder(placement: Placement, reason: string): Promise<void> {
		const {log, metrics} = this.dependencies;
		const {server, range} = placement;
		const outcome = await this.sendOrder(placement);
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

		await this.awaitCompletion(placement);
	}

	/** Polls the server until it has loaded the range, so that the instances need not wait for the list. */
	private async awaitCompletion({server, range}: Placement): Promise<void> {
		const {timers, reporter, onRangeConfirmed, log} = this.dependencies;
		const order = this.pending.get(getIncarnationId(server));
		const loaded = server.range;
		if (loaded && range.from >= loaded.from && range.to <= loaded.to) {
			// The server only drops layers: those must get no new requests from now on.
			onRangeConfirmed(server, range);
			return;
		}

		for (const expiresAt = order?.expiresAt ?? 0; timers.now() < expiresAt;) {
			await timers.sleep(this.timings.checkInterval); // eslint-disable-line no-await-in-loop
			try {
				this.countQuery();
				const report = await reporter.fetchReport(server); // eslint-disable-line no-await-in-loop
				if (this.pending.get(getIncarnationId(server)) !== order) {
					// The list already shows the result, or a later order replaced this one.
					return;
				}

				if (isSameRange(report.range, range) && !report.isBusy) {
					onRangeConfirmed(server, range);
					return;
				}
			} catch (error) {
				log.write('placement.no_report', {server: server.id, reason: getErrorMessage(error)});
			}
		}
	}

	private countQuery(): void {
		this.dependencies.metrics.count('siskinnotch_server_queries', 1, {reason: QueryReason.Placement});
	}

	/** Sends an order based on the state that the server itself reports, so that the server refuses an order that arrives late, after others. */
	private async sendOrder(placement: Placement): Promise<OrderOutcome> {
		const {reporter, sender, lease, timers, log} = this.dependencies;
		const {server, range} = placement;
		try {
			this.countQuery();
			const report = await reporter.fetchReport(server);
			if (isSameRange(report.range, range)) {
				return OrderOutcome.Accepted;
			}

			const isOtherIncarnation = report.startedAt !== undefined && report.startedAt !== server.startedAt;
			if (isOtherIncarnation || report.isBusy || !lease.mayAct(timers.now())) {
				return OrderOutcome.Refused;
			}

			return await sender.sendOrder(placement, report.acceptedOrders);
		} catch (error) {
			log.warn('placement.no_report', {server: server.id, reason: getErrorMessage(error)});
			return OrderOutcome.Refused;
		}
	}
}
