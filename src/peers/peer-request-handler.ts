import {type ConfigurationWatcher} from '../configuration/configuration-watcher.js';
import {type ConfigurationUpdate} from '../configuration/configuration-update.js';
import {type ActiveConfiguration} from '../configuration/active-configuration.js';
import {type Membership} from '../membership/membership.js';
import {type ListedInstance} from '../store/listed-instance.js';
import {type Fleet} from '../routing/fleet.js';
import {type TimerService} from '../time/timer-service.js';
import {type ProbeMessage} from './probe-message.js';
import {type Peers} from './peers.js';

export type PeerRequestHandlerDependencies = {
	readonly self: {readonly id: string; readonly address: string};
	readonly membership: Membership;
	readonly peers: Peers;
	readonly configurationWatcher: ConfigurationWatcher;
	readonly activeConfiguration: ActiveConfiguration;
	readonly fleet: Fleet;
	readonly timers: TimerService;
};

/** Handles the requests of peers, and probes one of them in each period. */
export class PeerRequestHandler {
	constructor(private readonly dependencies: PeerRequestHandlerDependencies) {}

	/** Runs one period of failure detection. */
	async probeNext(): Promise<void> {
		const probe = this.dependencies.membership.startPeriod(this.dependencies.timers.now());
		if (!probe || await this.probe(probe.target)) {
			return;
		}

		const indirectProbe = this.dependencies.membership.planIndirectProbe(probe.target);
		const target = this.dependencies.membership.getMember(probe.target)?.address;
		const answers = await Promise.all((indirectProbe?.helpers ?? []).map(async helper => this.probeThrough(helper, target)));
		if (!answers.includes(true)) {
			this.dependencies.membership.suspect(probe.target, this.dependencies.timers.now());
		}
	}

	/** Answers the probe of a peer. */
	handleProbe(message: ProbeMessage): ProbeMessage {
		const now = this.dependencies.timers.now();
		this.dependencies.membership.recordProbe(message.from, message.address, now);
		this.dependencies.membership.applyRumors(message.rumors, now);
		void this.dependencies.configurationWatcher.fetchFrom(message.address, message.version);
		return this.createMessage(message.from);
	}

	/** Probes an address for a peer; resolves to whether it answered. */
	async probeOnBehalf(address: string): Promise<boolean> {
		try {
			await this.dependencies.peers.probe(address, this.createMessage());
			return true;
		} catch {
			return false;
		}
	}

	getUpdate(version: number): ConfigurationUpdate | undefined {
		return this.dependencies.configurationWatcher.createUpdateFor(version);
	}

	/** Returns the instance list that this instance knows, for an instance that starts while the platform is unavailable. */
	listing(): readonly ListedInstance[] {
		return this.dependencies.fleet.getListedInstances();
	}

	/** Fetches the instance list and the configuration from the seeds, when this instance starts while the platform is unavailable. */
	async syncFromSeeds(seeds: readonly string[]): Promise<void> {
		for (const seed of seeds) {
			try {
				const listing = await this.dependencies.peers.fetchListing(seed); // eslint-disable-line no-await-in-loop
				this.dependencies.fleet.update(listing);
				await this.dependencies.configurationWatcher.fetchNewer(seed); // eslint-disable-line no-await-in-loop
			} catch {
				// Another seed may answer.
			}
		}
	}

	/** Fetches the newer configuration that a peer announced; resolves to the version then in force on this instance. */
	async handleAnnouncement(address: string, version: number): Promise<number> {
		await this.dependencies.configurationWatcher.fetchFrom(address, version);
		return this.dependencies.activeConfiguration.version();
	}

	private async probe(id: string): Promise<boolean> {
		const address = this.dependencies.membership.getMember(id)?.address;
		if (address === undefined) {
			return true;
		}

		const sentAt = this.dependencies.timers.now();
		try {
			const answer = await this.dependencies.peers.probe(address, this.createMessage(id));
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
		const address = this.dependencies.membership.getMember(helper)?.address;
		if (address === undefined || target === undefined) {
			return false;
		}

		try {
			return await this.dependencies.peers.probeThrough(address, target);
		} catch {
			return false;
		}
	}

	private createMessage(receiver?: string): ProbeMessage {
		return {
			from: this.dependencies.self.id,
			address: this.dependencies.self.address,
			version: this.dependencies.activeConfiguration.version(),
			tableAge: this.dependencies.configurationWatcher.getTableAge(),
			rumors: [...this.dependencies.membership.nextRumors(receiver)],
		};
	}
}
