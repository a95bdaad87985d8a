import {type Logger} from 'winston';
import {type Metrics} from '../observation/metrics.js';
import {type Peers} from '../peers/peers.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type RandomSource} from '../routing/random-source.js';
import {type TimerService} from '../time/timer-service.js';
import {type Configuration} from './configuration.js';
import {type ConfigurationStore} from './configuration-store.js';
import {emptyConfiguration, type ActiveConfiguration} from './active-configuration.js';
import {type ConfigurationUpdate, createConfigurationUpdate} from './configuration-update.js';
import {applyDifference} from './sheet-difference.js';
import {type ConfigurationFreshness} from './configuration-freshness.js';

/** Number of random peers to which each new version is announced. */
const announcementFanout = 4;
/** Number of past versions kept as bases for differences sent to and received from peers. */
const retainedVersions = 16;

/** Constructor arguments of `ConfigurationWatcher`. */
export type ConfigurationWatcherDependencies = {
	readonly store: ConfigurationStore;
	readonly activeConfiguration: ActiveConfiguration;
	readonly freshness: ConfigurationFreshness;
	readonly peers: Peers;
	readonly timers: TimerService;
	readonly random: RandomSource;
	readonly metrics: Metrics;
	readonly log: Logger;
};

/** Keeps this instance's configuration up to date: reads it from the table, exchanges differences with peers, and announces new versions to them. */
export class ConfigurationWatcher {
	private readonly retained = new Map<number, Configuration>([[0, emptyConfiguration]]);
	private isPolling = false;

	constructor(private readonly dependencies: ConfigurationWatcherDependencies) {
		dependencies.activeConfiguration.subscribe(configuration => {
			this.retain(configuration);
			this.announce(configuration.version);
		});
	}

	/** Reads the table's head and applies the newest configuration. Does nothing while an earlier poll is still running; a failure is logged. */
	async poll(): Promise<void> {
		if (this.isPolling) {
			return;
		}

		this.isPolling = true;
		const startedAt = this.dependencies.timers.now();
		try {
			const head = await this.dependencies.store.readHead();
			this.dependencies.activeConfiguration.recordVersion(head.version);
			const newest = await this.dependencies.store.readNewest(this.dependencies.activeConfiguration.current() ?? emptyConfiguration, head);
			this.apply(newest, 'the table');
			if (this.dependencies.activeConfiguration.version() >= head.version) {
				this.dependencies.freshness.confirm(startedAt);
			}
		} catch (error) {
			this.dependencies.log.warn(`The newest configuration cannot be read from the table: ${getErrorMessage(error)}.`);
		} finally {
			this.isPolling = false;
		}
	}

	/**
	Processes a peer's reply to a probe: fetches the peer's configuration if it is newer, and confirms this instance's configuration by the last read of the table's head that the peer knows of.

	The age is counted back from the time at which the probe was sent, not from the arrival of the reply, because the reply may have waited in a buffer while this process was paused.

	@param reply - `tableAge` is in milliseconds since the last read of the table's head that the peer knows of; negative if it knows of none
	@param sentAt - monotonic time in milliseconds at which the probe was sent
	*/
	async applyProbeReply(address: string, {version, tableAge}: {readonly version: number; readonly tableAge: number}, sentAt: number): Promise<void> {
		await this.fetchFrom(address, version);
		if (tableAge >= 0 && this.dependencies.activeConfiguration.version() >= version) {
			this.dependencies.freshness.confirm(sentAt - tableAge);
		}
	}

	/** Milliseconds since the last read of the table's head that this instance knows of, by itself or a peer; -1 if it knows of none. */
	getTableAge(): number {
		const age = this.dependencies.freshness.getAge(this.dependencies.timers.now());
		return Number.isFinite(age) ? Math.round(age) : -1;
	}

	/** Records a peer's version, and fetches and applies its configuration if that is newer than the active one. A failure is logged. */
	async fetchFrom(address: string, version: number): Promise<void> {
		this.dependencies.activeConfiguration.recordVersion(version);
		if (version > this.dependencies.activeConfiguration.version()) {
			await this.fetchNewer(address);
		}
	}

	/** Fetches and applies the configuration of a peer whose version is not known, if it is newer than the active one. A failure is logged. */
	async fetchNewer(address: string): Promise<void> {
		try {
			const update = await this.dependencies.peers.fetchUpdate(address, Math.max(0, this.dependencies.activeConfiguration.version()));
			this.applyUpdate(update, address);
		} catch (error) {
			this.dependencies.log.warn(`The configuration cannot be fetched from peer ${address}: ${getErrorMessage(error)}.`);
		}
	}

	/** Creates the update for a peer that has the given version; undefined if this instance has nothing newer. */
	createUpdateFor(version: number): ConfigurationUpdate | undefined {
		const current = this.dependencies.activeConfiguration.current();
		if (!current || current.version <= version) {
			return undefined;
		}

		return createConfigurationUpdate(this.retained.get(version) ?? emptyConfiguration, current);
	}

	private applyUpdate(update: ConfigurationUpdate | undefined, source: string): void {
		const base = update && this.retained.get(update.base);
		if (!update || !base) {
			return;
		}

		const sheet = applyDifference(base.sheet, update.difference);
		if (sheet.digest !== update.digest) {
			this.dependencies.log.error(`The configuration update from ${source} does not match its digest and is ignored.`);
			return;
		}

		this.apply({version: update.version, sheet}, source);
	}

	private apply(configuration: Configuration, source: string): void {
		if (this.dependencies.activeConfiguration.apply(configuration)) {
			this.dependencies.metrics.count('siskinnotch_configuration_changes_total');
			this.dependencies.log.info(`Version ${configuration.version} is in force, from ${source}.`);
		}
	}

	private retain(configuration: Configuration): void {
		this.retained.set(configuration.version, configuration);
		for (const version of this.retained.keys()) {
			if (version > 0 && version < configuration.version - retainedVersions) {
				this.retained.delete(version);
			}
		}
	}

	private announce(version: number): void {
		const addresses = [...this.dependencies.peers.addresses()];
		for (let count = 0; count < announcementFanout && addresses.length > 0; count++) {
			const [address] = addresses.splice(this.dependencies.random.nextInteger(addresses.length), 1);
			void this.announceTo(address, version);
		}
	}

	private async announceTo(address: string, version: number): Promise<void> {
		await this.fetchFrom(address, await this.dependencies.peers.announce(address, version));
	}
}
