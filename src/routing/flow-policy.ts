import {type MaximumFlow, computeMaximumFlow, getLinkKey} from './maximum-flow.js';
import {computeLoad} from './server-load.js';
import {type RandomSource} from './random-source.js';
import {type RouteRequest} from './route-request.js';
import {RoutePolicy} from './route-policy.js';
import {type ServerState} from './server-state.js';

const choices = 2;
const smallestWeight = 1e-3;

/**
Follows the maximum flow: each next server is drawn with the flow on its link as weight, twice, and the less loaded of both is taken.

The weights keep slow links and uneven ranges from being filled beyond what they carry; the second draw evens out what late reports hide.
*/
export class FlowPolicy extends RoutePolicy {
	private readonly bounds = new Map<string, MaximumFlow>();

	constructor(private readonly random: RandomSource) {
		super();
	}

	protected selectServer(candidates: readonly ServerState[], previous: ServerState | undefined, servers: readonly ServerState[], request: RouteRequest): ServerState {
		const bound = this.boundOf(servers, request);
		const weights = candidates.map(({listed}) => Math.max(smallestWeight, (previous
			? bound.links.get(getLinkKey(previous.listed.id, listed.id))
			: bound.servers.get(listed.id)) ?? 0));
		let best: ServerState | undefined;
		for (let draw = 0; draw < choices; draw++) {
			const drawn = this.draw(candidates, weights);
			if (!best || computeLoad(drawn) < computeLoad(best)) {
				best = drawn;
			}
		}

		return best!;
	}

	/** The maximum flow through a set of servers, computed once for each set and its rates. */
	private boundOf(servers: readonly ServerState[], request: RouteRequest): MaximumFlow {
		const state = servers.map(({listed, report}) => `${listed.id}:${report?.tokenRate ?? ''}`).join(' ');
		const key = `${request.service} ${request.version} ${state}`;
		let bound = this.bounds.get(key);
		if (!bound) {
			if (this.bounds.size > 64) {
				this.bounds.clear();
			}

			bound = computeMaximumFlow(servers, request.layers);
			this.bounds.set(key, bound);
		}

		return bound;
	}

	private draw(candidates: readonly ServerState[], weights: readonly number[]): ServerState {
		let total = 0;
		for (const weight of weights) {
			total += weight;
		}

		let rest = this.random.nextFraction() * total;
		for (const [index, candidate] of candidates.entries()) {
			rest -= weights[index];
			if (rest < 0) {
				return candidate;
			}
		}

		return candidates.at(-1)!;
	}
}
