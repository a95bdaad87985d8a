import {type EngineOrder} from '../backends/engine-order.js';
import {type Service} from '../configuration/sheet-row.js';
import {type ServerState, getLoadedVersion} from '../routing/server-state.js';

/** An order for one server. */
export type PlannedOrder = {
	readonly server: string;
	readonly address: string;
	readonly order: EngineOrder;
};

/** Most servers that load weights at once, since the weight store is rate-limited. */
const mostLoads = 3;

function rangeOf({listed}: ServerState): string {
	return `${listed.service} ${listed.firstLayer}-${listed.endLayer}`;
}

/**
The orders that bring servers nearer to the versions of the sheet: a few at once, and one of a range at a time, so that the rest of the range goes on serving.

@param loading - ids of servers that were ordered and do not have the version yet
@param fencing - number of the lease under which the orders are given
*/
export function planOrders(servers: readonly ServerState[], services: readonly Service[], loading: ReadonlySet<string>, fencing: number): readonly PlannedOrder[] {
	const wanted = new Map(services.filter(({model}) => model !== '').map(service => [service.name, service]));
	const busyRanges = new Set(servers.filter(({listed}) => loading.has(listed.id)).map(server => rangeOf(server)));
	const orders: PlannedOrder[] = [];
	for (const server of servers) {
		const {listed} = server;
		const service = wanted.get(listed.service);
		const isBehind = service !== undefined && getLoadedVersion(server) !== service.version;
		if (!isBehind || busyRanges.has(rangeOf(server)) || loading.size + orders.length >= mostLoads) {
			continue;
		}

		busyRanges.add(rangeOf(server));
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
