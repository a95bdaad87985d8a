import {FlowNetwork} from './flow-network.js';
import {getLinkRate, getTokenRate} from './server-load.js';
import {type ServerState} from './server-state.js';

/** The most tokens a second that servers and links can carry, and the share of it on each server and link. */
export type MaximumFlow = {
	/** Tokens a second. */
	readonly total: number;
	/** Tokens a second through each server, by id. */
	readonly servers: ReadonlyMap<string, number>;
	/** Tokens a second from one server to the next, by both ids. */
	readonly links: ReadonlyMap<string, number>;
};

/** The key of a link in a flow bound. */
export function getLinkKey(from: string, to: string): string {
	return `${from} ${to}`;
}

const source = 0;
const sink = 1;
const firstServer = 2;

/**
The maximum flow from caller to caller: each server is an edge with its token rate, each link between consecutive ranges an edge with its own.

The idea of weighting routes by this flow is from Helix (ASPLOS 2025).

@param servers - the usable servers of one service and version
@param layers - number of layers of the model
*/
export function computeMaximumFlow(servers: readonly ServerState[], layers: number): MaximumFlow {
	const network = new FlowNetwork(firstServer + (servers.length * 2));
	const entryOf = (index: number) => firstServer + (index * 2);
	const exitOf = (index: number) => entryOf(index) + 1;
	const serverEdges: number[] = [];
	const linkEdges: Array<{key: string; node: number; edge: number}> = [];
	for (const [index, server] of servers.entries()) {
		serverEdges.push(network.addEdge(entryOf(index), exitOf(index), getTokenRate(server)));
		if (server.listed.firstLayer === 0) {
			network.addEdge(source, entryOf(index), Number.POSITIVE_INFINITY);
		}

		if (server.listed.endLayer === layers) {
			network.addEdge(exitOf(index), sink, Number.POSITIVE_INFINITY);
		}

		for (const [nextIndex, next] of servers.entries()) {
			if (next.listed.firstLayer === server.listed.endLayer && next !== server) {
				const edge = network.addEdge(exitOf(index), entryOf(nextIndex), Math.min(getLinkRate(server, next), getTokenRate(server)));
				linkEdges.push({key: getLinkKey(server.listed.id, next.listed.id), node: exitOf(index), edge});
			}
		}
	}

	const total = network.maximize(source, sink);
	return {
		total,
		servers: new Map(servers.map((server, index) => [server.listed.id, network.getFlow(entryOf(index), serverEdges[index])])),
		links: new Map(linkEdges.map(({key, node, edge}) => [key, network.getFlow(node, edge)])),
	};
}
