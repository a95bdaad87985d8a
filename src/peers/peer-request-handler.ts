import {type ConfigurationWatcher} from '../configuration/configuration-watcher.js';
import {type ConfigurationUpdate} from '../configuration/configuration-update.js';
import {type ActiveConfiguration} from '../configuration/active-configuration.js';
import {type Membership} from '../membership/membership.js';
import {type ListedInstance} from '../store/listed-instance.js';
import {type Fleet} from '../routing/fleet.js';
import {type TimerService} from '../time/timer-service.js';
import {type ProbeMessage} from './probe-message.js';
import {type Peers} from './peers.js';

/** What the peers' procedures need. */
export type PeerRequestHandlerDependencies = {
	readonly self: {readonly id: string; readonly address: string};
	readonly membership: Membership;
	readonly peers: Peers;
	readonly configurationWatcher: ConfigurationWatcher;
	readonly activeConfiguration: ActiveConfiguration;
	readonly fleet: Fleet;
	readonly timers: TimerService;
};

/** Answers peers, and probes them period by period. */
export class PeerRequestHandler {
	constructor(private readonly dependencies: PeerRequestHandlerDependencies) {}

	/** One period of failure detection. */
	async probeNext(): Promise<void> {
		const probe = this.dependencies.membership.startPeriod(this.dependencies.timers.now());
		if (!probe || await this.probe(probe.target)) {
			return;
		}

		const indirect = this.dependencies.membership.planIndirectProbe(probe.target);
		const target = this.dependencies.membership.find(probe.target)?.address;
		const answers = await Promise.all((indirect?.helpers ?? []).map(async helper => this.probeThrough(helper, target)));
		if (!answers.includes(true)) {
			this.dependencies.membership.suspect(probe.target, this.dependencies.timers.now());
		}
	}

	/** A peer probes this instance. */
	handleProbe(message: ProbeMessage): ProbeMessage {
		const now = this.dependencies.timers.now();
		this.dependencies.membership.recordMessage(message.from, now);
		this.dependencies.membership.applyRumors(message.rumors, now);
		void this.dependencies.configurationWatcher.fetchFrom(message.address, message.version);
		return this.message(message.from);
	}

	/** A peer asks whether another one answers this instance. */
	async probeOnBehalf(address: string): Promise<boolean> {
		try {
			await this.dependencies.peers.probe(address, this.message());
			return true;
		} catch {
			return false;
		}
	}

	getUpdate(version: number): ConfigurationUpdate | undefined {
		return this.dependencies.configurationWatcher.createUpdateFor(version);
	}

	/** Everything that this instance knows of the instance list, for one that starts while the platform is down. */
	listing(): readonly ListedInstance[] {
		return this.dependencies.fleet.listedInstances();
	}

	/** Asks the seeds for configuration and instance list; for an instance that starts while the platform is down. */
	async syncFromSeeds(seeds: readonly string[]): Promise<void> {
		for (const seed of seeds) {
			try {
				const listing = await this.dependencies.peers.fetchListing(seed); // eslint-disable-line no-await-in-loop
				this.dependencies.fleet.update(listing);
				await this.dependencies.configurationWatcher.fetchFrom(seed, Number.MAX_SAFE_INTEGER); // eslint-disable-line no-await-in-loop
			} catch {
				// The next seed may answer.
			}
		}
	}

	/** A peer has a newer configuration: takes it over and says which version is then in force here. */
	async handleAnnouncement(address: string, version: number): Promise<number> {
		await this.dependencies.configurationWatcher.fetchFrom(address, version);
		return this.dependencies.activeConfiguration.version();
	}

	private async probe(id: string): Promise<boolean> {
		const address = this.dependencies.membership.find(id)?.address;
		if (address === undefined) {
			return true;
		}

		const sentAt = this.dependencies.timers.now();
		try {
			const answer = await this.dependencies.peers.probe(address, this.message(id));
			const now = this.dependencies.timers.now();
			this.dependencies.membership.recordAcknowledgement(id, sentAt, now);
			this.dependencies.membership.applyRumors(answer.rumors, now);
			void this.dependencies.configurationWatcher.applyProbeReply(address, answer, sentAt);
			return true;
		} catch {
			return false;
		}
	}

	private async probeThrough(helper: string, target: string | undefined): Promise<boolean> {
		const address = this.dependencies.membership.find(helper)?.address;
		if (address === undefined || target === undefined) {
			return false;
		}

		try {
			return await this.dependencies.peers.probeThrough(address, target);
		} catch {
			return false;
		}
	}

	private message(receiver?: string): ProbeMessage {
		return {
			from: this.dependencies.self.id,
			address: this.dependencies.self.address,
			version: this.dependencies.activeConfiguration.version(),
			tableAge: this.dependencies.configurationWatcher.getTableAge(),
			rumors: [...this.dependencies.membership.nextRumors(receiver)],
		};
	}
}
