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

export type OrderDispatcherDependencies = {
	readonly engine: ModelEngine;
	readonly fleet: Fleet;
	readonly activeConfiguration: ActiveConfiguration;
	readonly timers: TimerService;
	readonly invariants: Invariants;
	readonly log: Logger;
};

/** How long an order may take to arrive and be answered. */
const orderTimeoutMs = 1000;
/** How long a server may take to load the ordered version before the order is repeated. */
const loadTimeoutMs = 10_000;

/**
Orders backend servers to load the versions of the sheet, on the instance that holds the lease for orders.

An order names the state that a server should have. Servers that check fencing numbers refuse a late order from a holder that was paused. For the other servers, the current holder reads the state back with each load report and repeats its order. A new holder first waits until the orders of the previous one have arrived.
*/
export class OrderDispatcher {
	private readonly orderedAt = new Map<string, number>();
	private heldSince = Number.POSITIVE_INFINITY;
	private heldFencing = 0;

	constructor(private readonly lease: Lease, private readonly dependencies: OrderDispatcherDependencies) {}

	/** Sends the orders that are due if the lease is held. */
	async dispatch(): Promise<void> {
		const {fleet, activeConfiguration, timers} = this.dependencies;
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

		const configuration = activeConfiguration.current();
		if (!configuration || now - this.heldSince < orderTimeoutMs) {
			return;
		}

		const services = configuration.sheet.getServices();
		const engines = [...fleet.getServers()].filter(server => server.listed.role === InstanceRole.Engine && fleet.isUsable(server, now));
		for (const server of engines) {
			const wantedVersion = configuration.sheet.findService(server.listed.service)?.version;
			const isDone = getLoadedVersion(server) === wantedVersion;
			const isOverdue = now - (this.orderedAt.get(server.listed.id) ?? now) > loadTimeoutMs;
			if (isDone || isOverdue) {
				this.orderedAt.delete(server.listed.id);
			}
		}

		const orders = planOrders(engines, services, new Set(this.orderedAt.keys()), this.lease.fencing);
		await Promise.all(orders.map(async order => this.sendOrder(order)));
	}

	private async sendOrder({server, address, order}: PlannedOrder): Promise<void> {
		const {engine, timers, log, invariants} = this.dependencies;
		this.orderedAt.set(server, timers.now());
		try {
			invariants.check(this.lease.isHeld(timers.now()), 'orders are given under a held lease', `to ${server}`);
			const isAccepted = await engine.sendOrder(address, order, orderTimeoutMs);
			log.info(`Server ${server} ${isAccepted ? 'accepted' : 'refused'} the order to load version ${order.version}, fencing number ${order.fencing}.`);
		} catch (error) {
			log.warn(`Server ${server} did not answer an order: ${getErrorMessage(error)}.`);
		}
	}
}
