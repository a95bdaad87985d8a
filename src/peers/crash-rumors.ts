import {type CrashReport} from '../quarantine/crash-report.js';
import {type GossipMessage, type ReportedCrash, type ClearedReport} from './gossip-message.js';
import {RumorBuffer, type RumorHeader} from './rumor-buffer.js';
import {type RumorTimings} from './server-rumors.js';

/** What the crash analysis of this instance is told; each call is made once for each rumor of another instance. */
export type CrashEvents = {
	/** Called when another instance saw a backend server crash; the times are on this instance's monotonic clock. */
	readonly onCrashReport: (report: CrashReport) => void;
	/** Called when another instance saw suspected prompt parts work. */
	readonly onCleared: (parts: readonly string[]) => void;
};

/** Prompt parts in one rumor at most. */
const maxPartsInRumor = 32;
/** Prompt parts that all crash reports of a message name at most, and also all that its reports clear. */
const maxPartsInMessage = 128;

/** Returns the newest rumors that together name no more than the maximum number of parts. */
function limitParts<Rumor>(rumors: readonly Rumor[], countParts: (rumor: Rumor) => number): Rumor[] {
	let first = rumors.length;
	for (let parts = 0; first > 0; first--) {
		parts += countParts(rumors[first - 1]);
		if (parts > maxPartsInMessage) {
			break;
		}
	}

	return rumors.slice(first);
}

/** The crashes of backend servers with the suspected prompt parts, and the parts that were cleared, that are passed on among the instances. */
export class CrashRumors {
	private readonly crashes: RumorBuffer<ReportedCrash>;
	private readonly cleared: RumorBuffer<ClearedReport>;
	private count = 0;

	/**
	@param self - id of this instance
	@param epoch - distinguishes the rumors of this process from those of an earlier one with the same id
	*/
	constructor(private readonly self: string, private readonly epoch: number, private readonly events: CrashEvents, {rumorLifetime, rumorMemory}: RumorTimings) {
		this.crashes = new RumorBuffer(rumorLifetime, rumorMemory);
		this.cleared = new RumorBuffer(rumorLifetime, rumorMemory);
	}

	/** Starts a rumor that this instance saw a backend server crash. Of many suspects, those sent last are reported. */
	addCrash({incarnationId, crashedAt, suspects}: CrashReport, now: number): void {
		const latest = suspects.toSorted((left, right) => right.sentAt - left.sentAt).slice(0, maxPartsInRumor);
		this.crashes.add([{
			...this.createHeader(),
			life: incarnationId,
			crashAge: Math.max(0, Math.round(now - crashedAt)),
			suspects: latest.map(({part, sentAt}) => ({part, sentAge: Math.max(0, Math.round(now - sentAt))})),
		}], now);
	}

	/**
	Starts rumors that this instance saw suspected parts work, without the parts of which another one lately said so.

	@returns whether any started
	*/
	addCleared(parts: readonly string[], now: number): boolean {
		const known = this.findClearedParts(now);
		const unknown = parts.filter(part => !known.has(part));
		for (let start = 0; start < unknown.length; start += maxPartsInRumor) {
			this.cleared.add([{...this.createHeader(), parts: unknown.slice(start, start + maxPartsInRumor)}], now);
		}

		return unknown.length > 0;
	}

	/** Returns the rumors to pass on. */
	getCurrent(now: number): Pick<GossipMessage, 'crashes' | 'vindications'> {
		const crashes = limitParts(this.crashes.getCurrent(now), ({suspects}) => suspects.length);
		const vindications = limitParts(this.cleared.getCurrent(now), ({parts}) => parts.length);
		return {...(crashes.length > 0 && {crashes}), ...(vindications.length > 0 && {vindications})};
	}

	/** Reports the unknown rumors of a message; returns whether there were any. */
	receive({crashes = [], vindications = []}: Pick<GossipMessage, 'crashes' | 'vindications'>, now: number): boolean {
		const unknownCrashes = this.crashes.add(crashes.filter(rumor => this.isForeign(rumor)), now);
		for (const crash of unknownCrashes) {
			this.reportCrash(crash, now);
		}

		const unknownCleared = vindications.filter(rumor => this.isForeign(rumor) && this.receiveCleared(rumor, now));
		return unknownCrashes.length > 0 || unknownCleared.length > 0;
	}

	/** Returns whether the rumor was unknown and clears a part of which no other one lately said so. */
	private receiveCleared(rumor: ClearedReport, now: number): boolean {
		const known = this.findClearedParts(now);
		if (rumor.parts.every(part => known.has(part))) {
			this.cleared.ignore(rumor, now);
			return false;
		}

		const isUnknown = this.cleared.add([rumor], now).length > 0;
		if (isUnknown) {
			this.events.onCleared(rumor.parts);
		}

		return isUnknown;
	}

	/** Returns the parts that the rumors that are passed on clear. */
	private findClearedParts(now: number): ReadonlySet<string> {
		return new Set(this.cleared.getCurrent(now).flatMap(({parts}) => parts));
	}

	private reportCrash({age, life: incarnationId, crashAge, suspects}: ReportedCrash, now: number): void {
		const startedAt = now - age;
		this.events.onCrashReport({
			incarnationId,
			crashedAt: startedAt - crashAge,
			suspects: suspects.map(({part, sentAge}) => ({part, sentAt: startedAt - sentAge})),
		});
	}

	private isForeign({origin}: RumorHeader): boolean {
		return origin !== this.self;
	}

	private createHeader(): RumorHeader {
		this.count++;
		return {
			origin: this.self, epoch: this.epoch, number: this.count, age: 0,
		};
	}
}
