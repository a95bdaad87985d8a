import {type Peers} from '../peers/peers.js';
import {type TimerService} from '../time/timer-service.js';

/** At how many instances a version is known to be in force. */
export type PropagationResult = {
	readonly inForce: number;
	readonly instances: number;
};

const patienceMs = 2000;
const pauseMs = 100;
const mostAsked = 16;

/**
Waits until an accepted version is in force at most instances, before its planner is told of it.

A version that only its acceptor knows would be lost to the others if that instance died while the table went down. Told to a majority, it reaches every instance that hears a majority.
*/
export class VersionPropagator {
	constructor(private readonly peers: Peers, private readonly timers: TimerService) {}

	/** Announces a version to at most 16 peers until each has it, for at most 2 s. */
	async propagate(version: number): Promise<PropagationResult> {
		const addresses = [...this.peers.addresses()];
		const asked = addresses.slice(0, mostAsked);
		const confirmed = new Set<string>();
		const deadline = this.timers.now() + patienceMs;
		for (;;) {
			await Promise.all(asked.filter(address => !confirmed.has(address)).map(async address => { // eslint-disable-line no-await-in-loop
				if (await this.peers.announce(address, version) >= version) {
					confirmed.add(address);
				}
			}));
			if (confirmed.size === asked.length || this.timers.now() >= deadline) {
				return {inForce: confirmed.size + 1, instances: addresses.length + 1};
			}

			await this.timers.sleep(pauseMs); // eslint-disable-line no-await-in-loop
		}
	}
}
