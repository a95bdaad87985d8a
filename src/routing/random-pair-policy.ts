import {computeLoad} from './server-load.js';
import {type RandomSource} from './random-source.js';
import {RoutePolicy} from './route-policy.js';
import {type ServerState} from './server-state.js';

/** Baseline for comparisons: selects the less loaded of two random servers (M. Mitzenmacher, 2001). */
export class RandomPairPolicy extends RoutePolicy {
	constructor(private readonly random: RandomSource) {
		super();
	}

	protected selectServer(candidates: readonly ServerState[]): ServerState {
		const first = this.random.pick(candidates);
		const second = this.random.pick(candidates);
		return computeLoad(second) < computeLoad(first) ? second : first;
	}
}
