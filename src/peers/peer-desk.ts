import {type ConfigurationWatcher} from '../configuration/configuration-follower.js';
import {type ConfigurationUpdate} from '../configuration/configuration-update.js';
import {type ActiveConfiguration} from '../configuration/configuration-keeper.js';
import {type Membership} from '../membership/membership.js';
import {type ListedInstance} from '../store/listed-instance.js';
import {type Fleet} from '../routing/fleet.js';
import {type TimerService} from '../time/timer-service.js';
import {type PeerMessage} from './peer-message.js';
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
	constructor(private readonly parts: PeerRequestHandlerDependencies) {}

	/** One period of failure detection. */
	async probeNext(): Promise<void> {
		const probe = this.parts.membership.tick(this.parts.timers.now());
		if (!probe || await this.probe(probe.target)) {
			return;
		}

		const indirect = this.parts.membership.unanswered(probe.target);
		const target = this.parts.membership.member(probe.target)?.address;
		const answers = await Promise.all((indirect?.through ?? []).map(async helper => this.probeThrough(helper, target)));
		if (!answers.includes(true)) {
			this.parts.membership.suspect(probe.target, this.parts.timers.now());
		}
	}

	/** A peer probes this instance. */
	probed(message: PeerMessage): PeerMessage {
		const now = this.parts.timers.now();
		this.parts.membership.heard(message.from, now);
		this.parts.membership.listen(message.rumors, now);
		void this.parts.configurationWatcher.fetchFrom(message.address, message.version);
		return this.message(message.from);
	}

	/** A peer asks whether another one answers this instance. */
	async probeFor(address: string): Promise<boolean> {
		try {
			await this.parts.peers.probe(address, this.message());
			return true;
		} catch {
			return false;
		}
	}

	updateFor(version: number): ConfigurationUpdate | undefined {
		return this.parts.configurationWatcher.createUpdateFor(version);
	}

	/** Everything that this instance knows of the instance list, for one that starts while the platform is down. */
	listing(): readonly ListedInstance[] {
		return this.parts.fleet.listing();
	}

	/** Asks the seeds for configuration and instance list; for an instance that starts while the platform is down. */
	async learnFromSeeds(seeds: readonly string[]): Promise<void> {
		for (const seed of seeds) {
			try {
				const listing = await this.parts.peers.listing(seed); // eslint-disable-line no-await-in-loop
				this.parts.fleet.update(listing);
				await this.parts.configurationWatcher.fetchFrom(seed, Number.MAX_SAFE_INTEGER); // eslint-disable-line no-await-in-loop
			} catch {
				// The next seed may answer.
			}
		}
	}

	/** A peer has a newer configuration: takes it over and says which version is then in force here. */
	async announced(address: string, version: number): Promise<number> {
		await this.parts.configurationWatcher.fetchFrom(address, version);
		return this.parts.activeConfiguration.version();
	}

	private async probe(id: string): Promise<boolean> {
		const address = this.parts.membership.member(id)?.address;
		if (address === undefined) {
			return true;
		}

		const sentAt = this.parts.timers.now();
		try {
			const answer = await this.parts.peers.probe(address, this.message(id));
			const now = this.parts.timers.now();
			this.parts.membership.answered(id, sentAt, now);
			this.parts.membership.listen(answer.rumors, now);
			void this.parts.configurationWatcher.applyProbeReply(address, answer, sentAt);
			return true;
		} catch {
			return false;
		}
	}

	private async probeThrough(helper: string, target: string | undefined): Promise<boolean> {
		const address = this.parts.membership.member(helper)?.address;
		if (address === undefined || target === undefined) {
			return false;
		}

		try {
			return await this.parts.peers.probeThrough(address, target);
		} catch {
			return false;
		}
	}

	private message(receiver?: string): PeerMessage {
		return {
			from: this.parts.self.id,
			address: this.parts.self.address,
			version: this.parts.activeConfiguration.version(),
			tableAge: this.parts.configurationWatcher.getTableAge(),
			rumors: [...this.parts.membership.takeRumors(receiver)],
		};
	}
}
