import {type ConfigurationFollower} from '../configuration/configuration-follower.js';
import {type ConfigurationUpdate} from '../configuration/configuration-update.js';
import {type ConfigurationKeeper} from '../configuration/configuration-keeper.js';
import {type Membership} from '../membership/membership.js';
import {type ListedInstance} from '../platform/listed-instance.js';
import {type Fleet} from '../routing/fleet.js';
import {type TimerService} from '../time/timer-service.js';
import {type PeerMessage} from './peer-message.js';
import {type Peers} from './peers.js';

/** Answers peers, and probes them period by period. */
export class PeerDesk {
	constructor(
		private readonly self: {readonly id: string; readonly address: string},
		private readonly membership: Membership,
		private readonly peers: Peers,
		private readonly follower: ConfigurationFollower,
		private readonly keeper: ConfigurationKeeper,
		private readonly fleet: Fleet,
		private readonly timers: TimerService,
	) {}

	/** One period of failure detection. */
	async probeNext(): Promise<void> {
		const probe = this.membership.tick(this.timers.now());
		if (!probe || await this.probe(probe.target)) {
			return;
		}

		const indirect = this.membership.unanswered(probe.target);
		const target = this.membership.member(probe.target)?.address;
		const answers = await Promise.all((indirect?.through ?? []).map(async helper => this.probeThrough(helper, target)));
		if (!answers.includes(true)) {
			this.membership.suspect(probe.target, this.timers.now());
		}
	}

	/** A peer probes this instance. */
	probed(message: PeerMessage): PeerMessage {
		const now = this.timers.now();
		this.membership.heard(message.from, now);
		this.membership.listen(message.rumors, now);
		void this.follower.pull(message.address, message.version);
		return this.message(message.from);
	}

	/** A peer asks whether another one answers this instance. */
	async probeFor(address: string): Promise<boolean> {
		try {
			await this.peers.probe(address, this.message());
			return true;
		} catch {
			return false;
		}
	}

	updateFor(version: number): ConfigurationUpdate | undefined {
		return this.follower.updateFor(version);
	}

	/** Everything that this instance knows of the instance list, for one that starts while the platform is down. */
	listing(): readonly ListedInstance[] {
		return this.fleet.listing();
	}

	/** Asks the seeds for configuration and instance list; for an instance that starts while the platform is down. */
	async learnFromSeeds(seeds: readonly string[]): Promise<void> {
		for (const seed of seeds) {
			try {
				const listing = await this.peers.listing(seed); // eslint-disable-line no-await-in-loop
				this.fleet.update(listing);
				await this.follower.pull(seed, Number.MAX_SAFE_INTEGER); // eslint-disable-line no-await-in-loop
			} catch {
				// The next seed may answer.
			}
		}
	}

	/** A peer has a newer configuration: takes it over and says which version is then in force here. */
	async announced(address: string, version: number): Promise<number> {
		await this.follower.pull(address, version);
		return this.keeper.version();
	}

	private async probe(id: string): Promise<boolean> {
		const address = this.membership.member(id)?.address;
		if (address === undefined) {
			return true;
		}

		const sentAt = this.timers.now();
		try {
			const answer = await this.peers.probe(address, this.message(id));
			const now = this.timers.now();
			this.membership.answered(id, sentAt, now);
			this.membership.listen(answer.rumors, now);
			void this.follower.heard(address, answer, sentAt);
			return true;
		} catch {
			return false;
		}
	}

	private async probeThrough(helper: string, target: string | undefined): Promise<boolean> {
		const address = this.membership.member(helper)?.address;
		if (address === undefined || target === undefined) {
			return false;
		}

		try {
			return await this.peers.probeThrough(address, target);
		} catch {
			return false;
		}
	}

	private message(receiver?: string): PeerMessage {
		return {
			from: this.self.id,
			address: this.self.address,
			version: this.keeper.version(),
			tableAge: this.follower.tableAge(),
			rumors: [...this.membership.takeRumors(receiver)],
		};
	}
}
