import {type RandomSource} from '../routing/random-source.js';
import {type Member} from './member.js';
import {MemberState} from './member-state.js';
import {type Probe} from './probe.js';
import {type Rumor} from './rumor.js';

const indirectProbes = 2;
const maxRumorsPerMessage = 6;
/** Times that a rumor is sent, as a multiple of the logarithm of the number of members. */
const rumorRetransmitFactor = 3;
/** Upper limit of the local health multiplier. */
const maxHealthMultiplier = 8;
/** Number of members up to which the suspicion time does not grow. */
const baseSize = 10;

type SpreadingRumor = {
	readonly rumor: Rumor;
	/** Number of messages that carried the rumor. */
	sent: number;
};

/** Whether a rumor takes precedence over the known state of its member. */
function overrides(rumor: Rumor, member: Member): boolean {
	if (rumor.incarnation !== member.incarnation) {
		return rumor.incarnation > member.incarnation;
	}

	const precedence = [MemberState.Alive, MemberState.Suspect, MemberState.Dead];
	return precedence.indexOf(rumor.state) > precedence.indexOf(member.state);
}

/**
Failure detector for the entry instances: each instance sends one probe per period, suspects a member before it declares it dead, and piggybacks state changes on the probes.

Implements SWIM (A. Das et al., 2002) with the local health multiplier of Lifeguard (A. Dadgar et al., 2018): an instance whose own probes often fail waits longer before it declares others dead. The traffic of each instance does not depend on the number of instances.
*/
export class Membership {
	private readonly members = new Map<string, Member>();
	private readonly rumors = new Map<string, SpreadingRumor>();
	private incarnation = 0;
	private probeOrder: string[] = [];
	private healthMultiplier = 0;

	/**
	@param self - id of this instance
	@param suspicion - milliseconds from suspicion to death with up to ten members; grows with the logarithm of their number
	*/
	constructor(private readonly self: string, private readonly suspicion: number, private readonly random: RandomSource) {}

	/** Returns the other instances that are not dead, including suspects. */
	alive(): readonly Member[] {
		return [...this.members.values()].filter(({state}) => state !== MemberState.Dead);
	}

	/** Returns the number of other instances that are alive and not suspect. */
	countAlive(): number {
		return this.all().filter(({state}) => state === MemberState.Alive).length;
	}

	/** Returns all other instances, including dead ones. */
	all(): readonly Member[] {
		return [...this.members.values()];
	}

	/** Returns the monotonic time in milliseconds at which the last probe that any member answered was sent; -Infinity if there is none. */
	getLastAcknowledgedAt(): number {
		let latest = Number.NEGATIVE_INFINITY;
		for (const member of this.members.values()) {
			latest = Math.max(latest, member.lastAcknowledgedAt);
		}

		return latest;
	}

	getMember(id: string): Member | undefined {
		return this.members.get(id);
	}

	/** Applies the platform's list, a map of ids to addresses: adds new entries as members and removes members that are not listed. */
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
			} else {
				this.add(id, address, now);
			}
		}
	}

	/** Records a probe of another instance. One that the list does not show yet becomes a member, since the list may be late or unavailable. */
	recordProbe(id: string, address: string, now: number): void {
		if (!this.members.has(id)) {
			this.add(id, address, now);
		}

		this.recordMessage(id, now);
	}

	/** Starts a period: declares members dead that were suspect for too long, and returns the probe to send, if any. */
	startPeriod(now: number): Probe | undefined {
		// The time for a refutation to spread grows with the logarithm of the number of members.
		const size = Math.log10(Math.max(baseSize, this.members.size));
		const limit = this.suspicion * size * (1 + this.healthMultiplier);
		for (const member of this.members.values()) {
			if (member.state === MemberState.Suspect && now - member.since >= limit) {
				this.setState(member, MemberState.Dead, member.incarnation, now);
			}
		}

		const target = this.nextTarget();
		return target === undefined ? undefined : {target, helpers: []};
	}

	/** Records a message of a member, which was alive when it sent the message. A process that resumes after a pause may read old messages. */
	recordMessage(id: string, now: number): void {
		const member = this.members.get(id);
		if (member && member.state !== MemberState.Alive) {
			this.setState(member, MemberState.Alive, member.incarnation + 1, now);
		}
	}

	/**
	Records that a member answered a probe of this instance.

	@param sentAt - monotonic time in milliseconds at which the probe was sent; the member was alive after that
	*/
	recordAcknowledgement(id: string, sentAt: number, now: number): void {
		this.healthMultiplier = Math.max(0, this.healthMultiplier - 1);
		this.recordMessage(id, now);
		const member = this.members.get(id);
		if (member) {
			member.lastAcknowledgedAt = Math.max(member.lastAcknowledgedAt, sentAt);
		}
	}

	/** Returns the indirect probe to send after a direct probe was not answered; undefined if no other member is alive. */
	planIndirectProbe(id: string): Probe | undefined {
		const candidates = this.alive().filter(member => member.id !== id && member.state === MemberState.Alive).map(member => member.id);
		const helpers: string[] = [];
		while (helpers.length < indirectProbes && candidates.length > 0) {
			helpers.push(...candidates.splice(this.random.nextInteger(candidates.length), 1));
		}

		return helpers.length === 0 ? undefined : {target: id, helpers};
	}

	/** Marks a member as suspect after neither a direct nor an indirect probe was answered. */
	suspect(id: string, now: number): void {
		this.healthMultiplier = Math.min(maxHealthMultiplier, this.healthMultiplier + 1);
		const member = this.members.get(id);
		if (member?.state === MemberState.Alive) {
			this.setState(member, MemberState.Suspect, member.incarnation, now);
		}
	}

	/** Applies the rumors of a received message. */
	applyRumors(rumors: readonly Rumor[], now: number): void {
		for (const rumor of rumors) {
			if (rumor.id === this.self) {
				this.refute(rumor);
				continue;
			}

			const member = this.members.get(rumor.id);
			if (member && overrides(rumor, member)) {
				this.setState(member, rumor.state, rumor.incarnation, now);
			}
		}
	}

	/**
	Selects the rumors for the next message, those sent least often first, and counts them as sent.

	@param receiver - id of the receiver; if it is not considered alive, a rumor about it comes first, so that it can refute it at once
	*/
	nextRumors(receiver?: string): readonly Rumor[] {
		const maxSent = rumorRetransmitFactor * Math.ceil(Math.log2(this.members.size + 2));
		const chosen = [...this.rumors.values()].toSorted((a, b) => a.sent - b.sent).slice(0, maxRumorsPerMessage);
		for (const spreading of chosen) {
			spreading.sent++;
			if (spreading.sent >= maxSent) {
				this.rumors.delete(spreading.rumor.id);
			}
		}

		const receivingMember = receiver === undefined ? undefined : this.members.get(receiver);
		const aboutReceiver = receivingMember && receivingMember.state !== MemberState.Alive ? [{id: receivingMember.id, state: receivingMember.state, incarnation: receivingMember.incarnation}] : [];
		return [...aboutReceiver, ...chosen.map(({rumor}) => rumor)];
	}

	private add(id: string, address: string, now: number): void {
		if (id !== this.self) {
			this.members.set(id, {
				id, address, state: MemberState.Alive, incarnation: 0, since: now, lastAcknowledgedAt: Number.NEGATIVE_INFINITY,
			});
		}
	}

	private refute(rumor: Rumor): void {
		if (rumor.state !== MemberState.Alive && rumor.incarnation >= this.incarnation) {
			this.incarnation = rumor.incarnation + 1;
			this.spread({id: this.self, state: MemberState.Alive, incarnation: this.incarnation});
		}
	}

	private setState(member: Member, state: MemberState, incarnation: number, now: number): void {
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

	/** Returns the next member of a shuffled round. Dead members are probed too, since they may have returned. */
	private nextTarget(): string | undefined {
		this.probeOrder = this.probeOrder.filter(id => this.members.has(id));
		if (this.probeOrder.length === 0) {
			const remaining = [...this.members.keys()];
			while (remaining.length > 0) {
				this.probeOrder.push(...remaining.splice(this.random.nextInteger(remaining.length), 1));
			}
		}

		return this.probeOrder.pop();
	}
}
