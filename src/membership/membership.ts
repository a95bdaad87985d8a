import {type RandomSource} from '../routing/random-source.js';
import {type Member} from './member.js';
import {MemberState} from './member-state.js';
import {type Probe} from './probe.js';
import {type Rumor} from './rumor.js';

const indirectProbes = 2;
const rumorsInMessage = 6;
const rumorRounds = 3;
const slowestAwareness = 8;
const smallestSize = 10;

type SpreadingRumor = {
	readonly rumor: Rumor;
	sent: number;
};

function beats(rumor: Rumor, member: Member): boolean {
	if (rumor.incarnation !== member.incarnation) {
		return rumor.incarnation > member.incarnation;
	}

	const order = [MemberState.Alive, MemberState.Suspect, MemberState.Dead];
	return order.indexOf(rumor.state) > order.indexOf(member.state);
}

/**
Who of the entry instances is alive: one probe a period for each instance, suspicion before removal, news carried on the probes.

It is SWIM (A. Das et al., 2002) with the local health multiplier of Lifeguard (A. Dadgar et al., 2018): an instance whose own probes fail often waits longer before it removes others. The bytes a second for each instance do not depend on the number of instances.
*/
export class Membership {
	private readonly members = new Map<string, Member>();
	private readonly rumors = new Map<string, SpreadingRumor>();
	private incarnation = 0;
	private order: string[] = [];
	private awareness = 0;

	/**
	@param self - id of this instance
	@param suspicion - milliseconds from suspicion to removal among up to ten members; it grows with the logarithm of their number
	*/
	constructor(private readonly self: string, private readonly suspicion: number, private readonly random: RandomSource) {}

	/** The other instances that are not dead. */
	alive(): readonly Member[] {
		return [...this.members.values()].filter(({state}) => state !== MemberState.Dead);
	}

	/** Number of other instances that are alive and not suspect. */
	countAlive(): number {
		return this.all().filter(({state}) => state === MemberState.Alive).length;
	}

	/** All other instances. */
	all(): readonly Member[] {
		return [...this.members.values()];
	}

	/** Monotonic time in milliseconds at which the last probe that any member answered was sent. */
	getLastAcknowledgedAt(): number {
		let latest = Number.NEGATIVE_INFINITY;
		for (const member of this.members.values()) {
			latest = Math.max(latest, member.lastAcknowledgedAt);
		}

		return latest;
	}

	find(id: string): Member | undefined {
		return this.members.get(id);
	}

	/** Takes over the platform's list: its new entries are members, and entries that it no longer has are not. */
	applyList(listed: ReadonlyMap<string, string>, now: number): void {
		for (const id of this.members.keys()) {
			if (!listed.has(id)) {
				this.members.delete(id);
			}
		}

		for (const [id, address] of listed) {
			const known = this.members.get(id);
			if (known) {
				known.address = address;
			} else if (id !== this.self) {
				this.members.set(id, {
					id, address, state: MemberState.Alive, incarnation: 0, since: now, lastAcknowledgedAt: Number.NEGATIVE_INFINITY,
				});
			}
		}
	}

	/** Begins a period: removes what was suspect for too long and says whom to probe. */
	startPeriod(now: number): Probe | undefined {
		// A refutation needs time in the order of the logarithm of the members to come back.
		const size = Math.log10(Math.max(smallestSize, this.members.size));
		const limit = this.suspicion * size * (1 + this.awareness);
		for (const member of this.members.values()) {
			if (member.state === MemberState.Suspect && now - member.since >= limit) {
				this.change(member, MemberState.Dead, member.incarnation, now);
			}
		}

		const target = this.nextTarget();
		return target === undefined ? undefined : {target, helpers: []};
	}

	/** A message of a member came in: it lives, or did when it sent it. A process that wakes from a pause reads old ones. */
	recordMessage(id: string, now: number): void {
		const member = this.members.get(id);
		if (member && member.state !== MemberState.Alive) {
			this.change(member, MemberState.Alive, member.incarnation + 1, now);
		}
	}

	/**
	A probe of this instance was answered.

	@param sentAt - monotonic time at which the probe was sent; the member was alive after that
	*/
	recordAcknowledgement(id: string, sentAt: number, now: number): void {
		this.awareness = Math.max(0, this.awareness - 1);
		this.recordMessage(id, now);
		const member = this.members.get(id);
		if (member) {
			member.lastAcknowledgedAt = Math.max(member.lastAcknowledgedAt, sentAt);
		}
	}

	/** A direct probe was not answered: says which members are to probe in its place. */
	planIndirectProbe(id: string): Probe | undefined {
		const helpers = this.alive().filter(member => member.id !== id && member.state === MemberState.Alive).map(member => member.id);
		const through: string[] = [];
		while (through.length < indirectProbes && helpers.length > 0) {
			through.push(...helpers.splice(this.random.nextInteger(helpers.length), 1));
		}

		return through.length === 0 ? undefined : {target: id, helpers: through};
	}

	/** No probe of the member was answered, direct or indirect. */
	suspect(id: string, now: number): void {
		this.awareness = Math.min(slowestAwareness, this.awareness + 1);
		const member = this.members.get(id);
		if (member?.state === MemberState.Alive) {
			this.change(member, MemberState.Suspect, member.incarnation, now);
		}
	}

	/** Takes over rumors that came with a message. */
	applyRumors(rumors: readonly Rumor[], now: number): void {
		for (const rumor of rumors) {
			if (rumor.id === this.self) {
				this.refute(rumor);
				continue;
			}

			const member = this.members.get(rumor.id);
			if (member && beats(rumor, member)) {
				this.change(member, rumor.state, rumor.incarnation, now);
			}
		}
	}

	/**
	The rumors that the next message carries.

	@param receiver - a member that is not held for alive is told so first, that it may refute it at once
	*/
	nextRumors(receiver?: string): readonly Rumor[] {
		const rounds = rumorRounds * Math.ceil(Math.log2(this.members.size + 2));
		const chosen = [...this.rumors.values()].toSorted((a, b) => a.sent - b.sent).slice(0, rumorsInMessage);
		for (const spreading of chosen) {
			spreading.sent++;
			if (spreading.sent >= rounds) {
				this.rumors.delete(spreading.rumor.id);
			}
		}

		const about = receiver === undefined ? undefined : this.members.get(receiver);
		const own = about && about.state !== MemberState.Alive ? [{id: about.id, state: about.state, incarnation: about.incarnation}] : [];
		return [...own, ...chosen.map(({rumor}) => rumor)];
	}

	private refute(rumor: Rumor): void {
		if (rumor.state !== MemberState.Alive && rumor.incarnation >= this.incarnation) {
			this.incarnation = rumor.incarnation + 1;
			this.spread({id: this.self, state: MemberState.Alive, incarnation: this.incarnation});
		}
	}

	private change(member: Member, state: MemberState, incarnation: number, now: number): void {
		if (state !== member.state) {
			member.since = now;
		}

		member.state = state;
		member.incarnation = incarnation;
		this.spread({id: member.id, state, incarnation});
	}

	private spread(rumor: Rumor): void {
		this.rumors.set(rumor.id, {rumor, sent: 0});
	}

	/** The next member of a shuffled round. Dead ones are probed too, as they may be back. */
	private nextTarget(): string | undefined {
		this.order = this.order.filter(id => this.members.has(id));
		if (this.order.length === 0) {
			const rest = [...this.members.keys()];
			while (rest.length > 0) {
				this.order.push(...rest.splice(this.random.nextInteger(rest.length), 1));
			}
		}

		return this.order.pop();
	}
}
