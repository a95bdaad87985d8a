import {RoutePolicy} from './route-policy.js';
import {type ServerState} from './server-state.js';

/** Baseline for comparisons: selects the servers of each layer range in turn. */
export class RoundRobinPolicy extends RoutePolicy {
	private readonly turns = new Map<number, number>();

	protected selectServer(candidates: readonly ServerState[]): ServerState {
		const layer = candidates[0].listed.firstLayer;
		const turn = this.turns.get(layer) ?? 0;
		this.turns.set(layer, turn + 1);
		return candidates[turn % candidates.length];
	}
}
