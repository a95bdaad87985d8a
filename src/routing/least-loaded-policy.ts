import {computeLoad} from './server-load.js';
import {RoutePolicy} from './route-policy.js';
import {type ServerState} from './server-state.js';

/** Baseline for comparisons: selects the server with the lowest load relative to its token rate, as last reported. */
export class LeastLoadedPolicy extends RoutePolicy {
	protected selectServer(candidates: readonly ServerState[]): ServerState {
		let best = candidates[0];
		for (const candidate of candidates) {
			if (computeLoad(candidate) < computeLoad(best)) {
				best = candidate;
			}
		}

		return best;
	}
}
