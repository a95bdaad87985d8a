import {type ConfigurationUpdate} from '../configuration/configuration-update.js';
import {type ListedInstance} from '../store/listed-instance.js';
import {type ProbeMessage} from './probe-message.js';

/** Client for the other entry instances. Calls reject if a peer does not answer in time. */
export abstract class Peers {
	/** Returns the addresses of the instances that are alive. */
	abstract addresses(): Iterable<string>;

	/** Probes a peer; resolves to its answer. */
	abstract probe(address: string, message: ProbeMessage): Promise<ProbeMessage>;

	/** Requests that a peer probe another one; resolves to whether that one answered. */
	abstract probeThrough(address: string, target: string): Promise<boolean>;

	/** Fetches the configuration changes since a version; undefined if there are none. */
	abstract fetchUpdate(address: string, version: number): Promise<ConfigurationUpdate | undefined>;

	/** Fetches the instance list that a peer knows. */
	abstract fetchListing(address: string): Promise<readonly ListedInstance[]>;

	/** Announces to a peer that a version is in force on this instance. Resolves to the version then in force on the peer; -1 if it does not answer. */
	abstract announce(address: string, version: number): Promise<number>;
}
