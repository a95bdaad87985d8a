import {FlowNetwork} from './flow-network.js';
import {getLinkRate, getTokenRate} from './server-load.js';
import {type ServerState} from './server-state.js';

/** The maximum token rate that servers and links can carry together, and the flow through each server and link. */
export type MaximumFlow = {
	/** Total flow in tokens per second. */
	readonly total: number;
	/** Tokens per second through each server, by server id. */
	readonly servers: ReadonlyMap<string, number>;
	/** Tokens per second over each link, by the key from `getLinkKey`. */
	readonly links: ReadonlyMap<string, number>;
};

/** The key of a link in `MaximumFlow.links`, made of both server ids. */
export function getLinkKey(from: string, to: string): string {
	return `${from} ${to}`;
}

const source = 0;
const sink = 1;
const firstServerNode = 2;

/**
Computes the maximum flow through the pipeline stages. Each server is an edge with its token rate as capacity, and each link between consecutive layer ranges is an edge with the link's rate.

Weighting routes by this flow follows Helix (ASPLOS 2025).

@param servers - the usable servers of one service and model version
@param layers - number of layers of the model
*/
export function computeMaximumFlow(servers: readonly ServerState[], layers: number): MaximumFlow {
	const network = new FlowNetwork(firstServerNode + (servers.length * 2));
	const getEntryNode = (index: number) => firstServerNode + (index * 2);
	const getExitNode = (index: number) => getEntryNode(index) + 1;
	const serverEdges: number[] = [];
	const linkEdges: Array<{key: string; node: number; edge: number}> = [];
	for (const [index, server] of servers.entries()) {
		serverEdges.push(network.addEdge(getEntryNode(index), getExitNode(index), getTokenRate(server)));
		if (server.listed.firstLayer === 0) {
			network.addEdge(source, getEntryNode(index), Number.POSITIVE_INFINITY);
		}

		if (server.listed.endLayer === layers) {
			network.addEdge(getExitNode(index), sink, Number.POSITIVE_INFINITY);
		}

		for (const [nextIndex, next] of servers.entries()) {
			if (next.listed.firstLayer === server.listed.endLayer && next !== server) {
				const edge = network.addEdge(getExitNode(index), getEntryNode(nextIndex), Math.min(getLinkRate(server, next), getTokenRate(server)));
				linkEdges.push({key: getLinkKey(server.listed.id, next.listed.id), node: getExitNode(index), edge});
			}
		}
	}

	const total = network.maximize(source, sink);
	return {
		total,
		servers: new Map(servers.map((server, index) => [server.listed.id, network.getFlow(getEntryNode(index), serverEdges[index])])),
		links: new Map(linkEdges.map(({key, node, edge}) => [key, network.getFlow(node, edge)])),
	};
}
