import {type WaitingReport, type WaitingWork, type ZoneWaiting} from '../admission/zone-waiting.js';
import {type GossipMessage, type ReportedWaiting} from './gossip-message.js';
import {getIdDigest} from './id-digest.js';
import {packedTokensUnit} from './load-report.js';
import {packCounts, unpackCounts} from './packed-counts.js';
import {transitAllowanceMs} from './transit-allowance.js';

/** Reports of other instances that a message carries at most. A report takes some 90 bytes for each priority, and the bytes of gossip are limited. */
const maxRelayedReports = 4;
/** Priorities of which a report names the waiting requests at most, the most urgent first. */
const maxPriorities = 4;
/** Services of which a report names the waiting requests of a priority at most. */
const maxServices = 4;
/** Time in milliseconds after the last waiting request for which an instance reports that none waits. */
const emptyReportTimeMs = 2000;

/** Exchanges with the other instances of the own availability zone what requests wait there. */
export class WaitingExchange {
	private readonly ownDigest: string;
	private waitedAt = Number.NEGATIVE_INFINITY;

	/**
	@param describeOwn - returns what waits at this instance
	*/
	constructor(private readonly self: {readonly id: string; readonly availabilityZone: string}, private readonly zone: ZoneWaiting, private readonly describeOwn: () => readonly WaitingWork[]) {
		this.ownDigest = getIdDigest(self.id);
	}

	/** Returns the reports for a message to an instance of a zone. */
	getCurrent(recipientZone: string | undefined, now: number): Pick<GossipMessage, 'waiting'> {
		if (recipientZone !== this.self.availabilityZone) {
			return {};
		}

		const work = this.describeOwn().map(waiting => ({...waiting, service: getIdDigest(waiting.service)}));
		this.waitedAt = work.length > 0 ? now : this.waitedAt;
		const own = now - this.waitedAt <= emptyReportTimeMs ? [{instance: this.ownDigest, measuredAt: now, work}] : [];
		const waiting = [...own, ...this.zone.findCurrent(now).slice(0, maxRelayedReports)].map(report => pack(report, now));
		return waiting.length > 0 ? {waiting} : {};
	}

	/** Stores the reports of a message. */
	receive({waiting = [], from}: Pick<GossipMessage, 'waiting' | 'from'>, now: number): void {
		if (from.availabilityZone !== this.self.availabilityZone) {
			return;
		}

		for (const report of waiting) {
			if (report.instance !== this.ownDigest) {
				this.zone.update(unpack(report, now), now);
			}
		}
	}
}

function pack({instance, measuredAt, work}: WaitingReport, now: number): ReportedWaiting {
	const priorities = [...new Set(work.map(({priority}) => priority))].toSorted((left, right) => left - right).slice(0, maxPriorities);
	return {
		instance,
		age: Math.max(0, Math.round(now - measuredAt)),
		levels: priorities.map(priority => {
			const level = work.filter(waiting => waiting.priority === priority).slice(0, maxServices);
			return {
				priority,
				requests: packCounts(level.map(({service, requests}) => [service, requests]), 1),
				tokens: packCounts(level.map(({service, tokens}) => [service, tokens]), packedTokensUnit),
			};
		}),
	};
}

function unpack({instance, age, levels}: ReportedWaiting, now: number): WaitingReport {
	return {
		instance,
		measuredAt: now - age - transitAllowanceMs,
		work: levels.flatMap(({priority, requests, tokens}) => {
			const tokensByService = unpackCounts(tokens, packedTokensUnit);
			return [...unpackCounts(requests, 1)].map(([service, count]) => ({
				service, priority, requests: count, tokens: tokensByService.get(service) ?? 0,
			}));
		}),
	};
}
