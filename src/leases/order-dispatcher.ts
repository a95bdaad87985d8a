import {type Logger} from 'winston';
import {type ModelEngine} from '../backends/model-engine.js';
import {type ActiveConfiguration} from '../configuration/active-configuration.js';
import {type Invariants} from '../observation/invariants.js';
import {InstanceRole} from '../store/instance-role.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type Fleet} from '../routing/fleet.js';
import {getLoadedVersion} from '../routing/server-state.js';
import {type TimerService} from '../time/timer-service.js';
import {type Lease} from './lease.js';
import {planOrders, type PlannedOrder} from './order-plan.js';

/** What orders need. */
export type OrderDispatcherDependencies = {
	readonly engine: ModelEngine;
	readonly fleet: Fleet;
	readonly activeConfiguration: ActiveConfiguration;
	readonly timers: TimerService;
	readonly invariants: Invariants;
	readonly log: Logger;
};

/** Milliseconds for which an order may be under way. */
const orderLimitMs = 1000;
/** Milliseconds after which a server that has not loaded what it was ordered is ordered again. */
const loadPatienceMs = 10_000;

/**
Brings backend servers to the versions of the sheet, by whichever instance holds the lease for orders.

An order names the state that a server shall have. One that comes late, from a holder that was paused, is refused by servers that check fencing numbers; at the others the present holder reads the state back with each load report and orders again. A new holder waits until orders of the one before have arrived.
*/
export class OrderDispatcher {
	private readonly orderedAt = new Map<string, number>();
	private heldSince = Number.POSITIVE_INFINITY;
	private heldFencing = 0;

	constructor(private readonly lease: Lease, private readonly dependencies: OrderDispatcherDependencies) {}

	/** Gives the orders that are due, if the lease is held. */
	async dispatch(): Promise<void> {
		const {fleet, activeConfiguration: keeper, timers} = this.dependencies;
		const now = timers.now();
		if (!this.lease.isHeld(now)) {
			this.heldSince = Number.POSITIVE_INFINITY;
			return;
		}

		if (this.heldSince === Number.POSITIVE_INFINITY || this.heldFencing !== this.lease.fencing) {
			this.heldSince = now;
			this.heldFencing = this.lease.fencing;
			this.orderedAt.clear();
		}

		const configuration = keeper.current();
		if (!configuration || now - this.heldSince < orderLimitMs) {
			return;
		}

		const services = configuration.sheet.getServices();
		const engines = [...fleet.getServers()].filter(server => server.listed.role === InstanceRole.Engine && fleet.isUsable(server, now));
		for (const server of engines) {
			const wanted = configuration.sheet.findService(server.listed.service)?.version;
			const isDone = getLoadedVersion(server) === wanted;
			const isOverdue = now - (this.orderedAt.get(server.listed.id) ?? now) > loadPatienceMs;
			if (isDone || isOverdue) {
				this.orderedAt.delete(server.listed.id);
			}
		}

		const orders = planOrders(engines, services, new Set(this.orderedAt.keys()), this.lease.fencing);
		await Promise.all(orders.map(async order => this.give(order)));
	}

	private async give({server, address, order}: PlannedOrder): Promise<void> {
		const {engine, timers, log, invariants} = this.dependencies;
		this.orderedAt.set(server, timers.now());
		try {
			invariants.check(this.lease.isHeld(timers.now()), 'orders are given under a held lease', `to ${server}`);
			const isTaken = await engine.sendOrder(address, order, orderLimitMs);
			log.info(`Server ${server} ${isTaken ? 'loads' : 'refused to load'} version ${order.version}, fencing number ${order.fencing}.`);
		} catch (error) {
			log.warn(`Server ${server} gave no answer to an order: ${getErrorMessage(error)}.`);
		}
	}
}
