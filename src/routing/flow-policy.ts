import {type MaximumFlow, computeMaximumFlow, getLinkKey} from './maximum-flow.js';
import {computeLoad} from './server-load.js';
import {type RandomSource} from './random-source.js';
import {type RouteRequest} from './route-request.js';
import {RoutePolicy} from './route-policy.js';
import {type ServerState} from './server-state.js';

const drawCount = 2;
const minimumWeight = 1e-3;

/**
Selects servers at random in proportion to the maximum flow: it draws two candidates for the next stage, weighted by the flow on the link to them, and takes the less loaded one.

The weights prevent slow links and uneven layer ranges from receiving more than they can carry. The second draw balances load that delayed reports do not show yet.
*/
export class FlowPolicy extends RoutePolicy {
	private readonly maximumFlows = new Map<string, MaximumFlow>();

	constructor(private readonly random: RandomSource) {
		super();
	}

	protected selectServer(candidates: readonly ServerState[], previous: ServerState | undefined, servers: readonly ServerState[], request: RouteRequest): ServerState {
		const maximumFlow = this.getMaximumFlow(servers, request);
		const weights = candidates.map(({listed}) => Math.max(minimumWeight, (previous
			? maximumFlow.links.get(getLinkKey(previous.listed.id, listed.id))
			: maximumFlow.servers.get(listed.id)) ?? 0));
		let best: ServerState | undefined;
		for (let draw = 0; draw < drawCount; draw++) {
			const drawn = this.draw(candidates, weights);
			if (!best || computeLoad(drawn) < computeLoad(best)) {
				best = drawn;
			}
		}

		return best!;
	}

	/** The maximum flow through a set of servers, cached by the server ids and their reported token rates. */
	private getMaximumFlow(servers: readonly ServerState[], request: RouteRequest): MaximumFlow {
		const state = servers.map(({listed, report}) => `${listed.id}:${report?.tokenRate ?? ''}`).join(' ');
		const key = `${request.service} ${request.version} ${state}`;
		let maximumFlow = this.maximumFlows.get(key);
		if (!maximumFlow) {
			if (this.maximumFlows.size > 64) {
				this.maximumFlows.clear();
			}

			maximumFlow = computeMaximumFlow(servers, request.layers);
			this.maximumFlows.set(key, maximumFlow);
		}

		return maximumFlow;
	}

	private draw(candidates: readonly ServerState[], weights: readonly number[]): ServerState {
		let total = 0;
		for (const weight of weights) {
			total += weight;
		}

		let remaining = this.random.nextFraction() * total;
		for (const [index, candidate] of candidates.entries()) {
			remaining -= weights[index];
			if (remaining < 0) {
				return candidate;
			}
		}

		return candidates.at(-1)!;
	}
}
