import {computeLoad} from './server-load.js';
import {RoutePolicy} from './route-policy.js';
import {type ServerState} from './server-state.js';

/** Baseline: takes the server with the least load for its rate, as last reported. */
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
