import {type Peers} from '../peers/peers.js';
import {type TimerService} from '../time/timer-service.js';

/** How many instances have confirmed a version. */
export type PropagationResult = {
	/** Number of instances where the version is active, including this one. */
	readonly inForce: number;
	/** Number of live instances, including this one. */
	readonly instances: number;
};

const propagationTimeoutMs = 2000;
const retryDelayMs = 100;
const maxPeers = 16;

/**
Propagates an accepted version to peers before its planner gets the response.

If only the accepting instance knew the version, the others would miss it when that instance failed while the table was down. Once a majority has it, every instance that is in contact with a majority receives it.
*/
export class VersionPropagator {
	constructor(private readonly peers: Peers, private readonly timers: TimerService) {}

	/** Announces a version to at most 16 peers, and repeats this until each has confirmed it or 2 s have passed. */
	async propagate(version: number): Promise<PropagationResult> {
		const addresses = [...this.peers.addresses()];
		const targets = addresses.slice(0, maxPeers);
		const confirmed = new Set<string>();
		const deadline = this.timers.now() + propagationTimeoutMs;
		for (;;) {
			await Promise.all(targets.filter(address => !confirmed.has(address)).map(async address => { // eslint-disable-line no-await-in-loop
				if (await this.peers.announce(address, version) >= version) {
					confirmed.add(address);
				}
			}));
			if (confirmed.size === targets.length || this.timers.now() >= deadline) {
				return {inForce: confirmed.size + 1, instances: addresses.length + 1};
			}

			await this.timers.sleep(retryDelayMs); // eslint-disable-line no-await-in-loop
		}
	}
}
