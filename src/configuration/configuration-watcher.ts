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

const announcementFanout = 4;
const retainedVersions = 16;

/** What the follower needs. */
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

/** Keeps this instance's configuration up to date, from the table and by differences from peers, and tells peers of newer ones. */
export class ConfigurationWatcher {
	private readonly retained = new Map<number, Configuration>([[0, emptyConfiguration]]);
	private isPolling = false;

	constructor(private readonly parts: ConfigurationWatcherDependencies) {
		parts.activeConfiguration.subscribe(configuration => {
			this.retain(configuration);
			this.announce(configuration.version);
		});
	}

	/** Reads the table's head, and what is newer than the configuration in force. */
	async poll(): Promise<void> {
		if (this.isPolling) {
			return;
		}

		this.isPolling = true;
		const begin = this.parts.timers.now();
		try {
			const head = await this.parts.store.readHead();
			const newest = await this.parts.store.readNewest(this.parts.activeConfiguration.current() ?? emptyConfiguration, head);
			this.put(newest, 'the table');
			if (this.parts.activeConfiguration.version() >= head.version) {
				this.parts.freshness.confirm(begin);
			}
		} catch (error) {
			this.parts.log.warn(`The table's head cannot be read: ${getErrorMessage(error)}.`);
		} finally {
			this.isPolling = false;
		}
	}

	/**
	A peer answered a probe: takes over its version, and its reading of the table's head as of when the probe was sent.

	The time of sending counts, as an answer may have waited in a buffer while this process was paused.

	@param tableAge - milliseconds since the last reading that the peer knows of; negative where it knows of none
	*/
	async applyProbeReply(address: string, {version, tableAge}: {readonly version: number; readonly tableAge: number}, sentAt: number): Promise<void> {
		await this.fetchFrom(address, version);
		if (tableAge >= 0 && this.parts.activeConfiguration.version() >= version) {
			this.parts.freshness.confirm(sentAt - tableAge);
		}
	}

	/** Milliseconds since the last reading of the table's head that this instance knows of; -1 where it knows of none. */
	getTableAge(): number {
		const age = this.parts.freshness.getAge(this.parts.timers.now());
		return Number.isFinite(age) ? Math.round(age) : -1;
	}

	/** Fetches a newer configuration from a peer that has one. */
	async fetchFrom(address: string, version: number): Promise<void> {
		if (version <= this.parts.activeConfiguration.version()) {
			return;
		}

		try {
			const update = await this.parts.peers.fetchUpdate(address, Math.max(0, this.parts.activeConfiguration.version()));
			this.take(update, address);
		} catch (error) {
			this.parts.log.warn(`Peer ${address} gave no configuration: ${getErrorMessage(error)}.`);
		}
	}

	/** The update for a peer whose version is given; undefined where this instance has nothing newer. */
	createUpdateFor(version: number): ConfigurationUpdate | undefined {
		const current = this.parts.activeConfiguration.current();
		if (!current || current.version <= version) {
			return undefined;
		}

		return createConfigurationUpdate(this.retained.get(version) ?? emptyConfiguration, current);
	}

	private take(update: ConfigurationUpdate | undefined, source: string): void {
		const base = update && this.retained.get(update.base);
		if (!update || !base) {
			return;
		}

		const sheet = applyDifference(base.sheet, update.difference);
		if (sheet.digest !== update.digest) {
			this.parts.log.error(`The configuration of ${source} has another digest than it says.`);
			return;
		}

		this.put({version: update.version, sheet}, source);
	}

	private put(configuration: Configuration, source: string): void {
		if (this.parts.activeConfiguration.apply(configuration)) {
			this.parts.metrics.count('siskinnotch_configuration_changes_total');
			this.parts.log.info(`Version ${configuration.version} is in force, from ${source}.`);
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
		const addresses = [...this.parts.peers.addresses()];
		for (let count = 0; count < announcementFanout && addresses.length > 0; count++) {
			const [address] = addresses.splice(this.parts.random.nextInteger(addresses.length), 1);
			void this.parts.peers.announce(address, version);
		}
	}
}
