import {type Invariants} from '../observation/invariants.js';
import {type Configuration} from './configuration.js';
import {Sheet} from './sheet.js';

/** The configuration that this instance currently uses, and the newest version that it knows to exist. Both versions only increase. */
export class ActiveConfiguration {
	private configuration: Configuration | undefined;
	private newestVersion = -1;
	private readonly listeners = new Set<(configuration: Configuration) => void>();

	constructor(private readonly invariants: Invariants) {}

	/** The active configuration; undefined until the first one is applied. */
	current(): Configuration | undefined {
		return this.configuration;
	}

	/** The active version; -1 until the first configuration is applied. */
	version(): number {
		return this.configuration?.version ?? -1;
	}

	/** The newest version known to exist, which this instance may not have yet; -1 if none is known. */
	get newestKnownVersion(): number {
		return this.newestVersion;
	}

	/** Records that a version exists, in the table or at a peer. */
	recordVersion(version: number): void {
		this.newestVersion = Math.max(this.newestVersion, version);
	}

	/**
	Makes a configuration the active one if it is newer, and calls the listeners. A configuration of the same version must have the same digest.

	@returns whether the configuration was newer and is now active
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
		this.recordVersion(candidate.version);
		for (const listener of this.listeners) {
			listener(candidate);
		}

		return true;
	}

	/** Registers a listener that is called with each configuration that becomes active. */
	subscribe(listener: (configuration: Configuration) => void): void {
		this.listeners.add(listener);
	}
}

/** Version 0, with an empty sheet: the configuration before the first accepted sheet. */
export const emptyConfiguration: Configuration = {version: 0, sheet: new Sheet([])};
