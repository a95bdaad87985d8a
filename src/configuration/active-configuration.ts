import {type Invariants} from '../observation/invariants.js';
import {type Configuration} from './configuration.js';
import {Sheet} from './sheet.js';

/** Holds the configuration in force at this instance. Its version only rises. */
export class ActiveConfiguration {
	private configuration: Configuration | undefined;
	private readonly listeners = new Set<(configuration: Configuration) => void>();

	constructor(private readonly invariants: Invariants) {}

	/** The configuration in force; undefined until one is known. */
	current(): Configuration | undefined {
		return this.configuration;
	}

	/** The version in force; -1 until one is known. */
	version(): number {
		return this.configuration?.version ?? -1;
	}

	/**
	Puts a configuration in force unless it is older than the one in force.

	@returns whether it is newer and now in force
	*/
	apply(candidate: Configuration): boolean {
		const {configuration} = this;
		if (configuration && candidate.version <= configuration.version) {
			if (candidate.version === configuration.version) {
				this.invariants.check(
					candidate.sheet.digest === configuration.sheet.digest,
					'one version has one sheet',
					`version ${candidate.version} has the digests ${candidate.sheet.digest} and ${configuration.sheet.digest}`,
				);
			}

			return false;
		}

		this.configuration = candidate;
		for (const listener of this.listeners) {
			listener(candidate);
		}

		return true;
	}

	/** Calls the listener with each configuration that comes into force. */
	subscribe(listener: (configuration: Configuration) => void): void {
		this.listeners.add(listener);
	}
}

/** The configuration before the first accepted sheet. */
export const emptyConfiguration: Configuration = {version: 0, sheet: new Sheet([])};
