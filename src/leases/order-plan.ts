import {type EngineOrder} from '../backends/engine-order.js';
import {type Service} from '../configuration/sheet-row.js';
import {type ServerState, getLoadedVersion} from '../routing/server-state.js';

/** An order for one server. */
export type PlannedOrder = {
	readonly server: string;
	readonly address: string;
	readonly order: EngineOrder;
};

/** Largest number of servers that load weights at once, since the weight store is rate-limited. */
const maxConcurrentLoads = 3;

/** Returns a key of the service and layers of a server. */
function getRangeKey({listed}: ServerState): string {
	return `${listed.service} ${listed.firstLayer}-${listed.endLayer}`;
}

/**
Plans the next orders that bring servers to the versions of the sheet: only a few at once, and one server per layer range at a time, so that the other servers with that range keep serving.

@param loading - ids of servers that have been ordered to load a version and have not loaded it yet
@param fencing - fencing number of the lease under which the orders are sent
*/
export function planOrders(servers: readonly ServerState[], services: readonly Service[], loading: ReadonlySet<string>, fencing: number): readonly PlannedOrder[] {
	const servicesByName = new Map(services.filter(({model}) => model !== '').map(service => [service.name, service]));
	const busyRanges = new Set(servers.filter(({listed}) => loading.has(listed.id)).map(server => getRangeKey(server)));
	const orders: PlannedOrder[] = [];
	for (const server of servers) {
		const {listed} = server;
		const service = servicesByName.get(listed.service);
		const isBehind = service !== undefined && getLoadedVersion(server) !== service.version;
		if (!isBehind || busyRanges.has(getRangeKey(server)) || loading.size + orders.length >= maxConcurrentLoads) {
			continue;
		}

		busyRanges.add(getRangeKey(server));
		orders.push({
			server: listed.id,
			address: listed.address,
			order: {
				model: service.model, version: service.version, firstLayer: listed.firstLayer, endLayer: listed.endLayer, fencing,
			},
		});
	}

	return orders;
}
