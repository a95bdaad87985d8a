import {type ConfigurationUpdate} from '../configuration/configuration-update.js';
import {type ListedInstance} from '../store/listed-instance.js';
import {type ProbeMessage} from './probe-message.js';

/** The other entry instances, as this one calls them. Calls reject where a peer gives no answer in time. */
export abstract class Peers {
	/** Addresses of the instances that are alive. */
	abstract addresses(): Iterable<string>;

	/** Probes a peer. */
	abstract probe(address: string, message: ProbeMessage): Promise<ProbeMessage>;

	/** Asks a peer to probe another; resolves to whether that one answered. */
	abstract probeThrough(address: string, target: string): Promise<boolean>;

	/** Fetches what is newer than a version; undefined where nothing is. */
	abstract fetchUpdate(address: string, version: number): Promise<ConfigurationUpdate | undefined>;

	/** Everything that a peer knows of the instance list. */
	abstract fetchListing(address: string): Promise<readonly ListedInstance[]>;

	/** Tells a peer that a version is in force here. Resolves to the version then in force there; -1 where it gives no answer. */
	abstract announce(address: string, version: number): Promise<number>;
}
