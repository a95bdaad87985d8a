import {type ServerDirectory} from '../pipelines/server-directory.js';
import {type ServerSlowdowns} from '../pipelines/server-slowdowns.js';
import {type GossipMessage} from './gossip-message.js';
import {getIdDigest, getServerDigest} from './id-digest.js';
import {packCounts, unpackCounts} from './packed-counts.js';
import {transitAllowanceMs} from './transit-allowance.js';

/** Units in which factors and ages (in milliseconds) are packed. */
const factorUnit = 0.1;
const ageUnit = 10;
/** Readings that a message carries at most. */
const maxReadingsInMessage = 48;

/** Passes on among the instances how slow backend servers are, so that not each instance needs to query each server. */
export class SlowdownExchange {
	constructor(private readonly slowdowns: ServerSlowdowns, private readonly directory: Pick<ServerDirectory, 'all'>) {}

	/** Returns the latest readings for a message. */
	getCurrent(now: number): Pick<GossipMessage, 'slowdowns'> {
		const readings = this.slowdowns.findCurrent(now).slice(0, maxReadingsInMessage);
		if (readings.length === 0) {
			return {};
		}

		return {
			slowdowns: {
				factors: packCounts(readings.map(({incarnationId, factor}) => [getIdDigest(incarnationId), factor]), factorUnit),
				ages: packCounts(readings.map(({incarnationId, recordedAt}) => [getIdDigest(incarnationId), now - recordedAt]), ageUnit),
			},
		};
	}

	/** Applies the readings of a message. */
	receive({slowdowns}: Pick<GossipMessage, 'slowdowns'>, now: number): void {
		if (!slowdowns) {
			return;
		}

		const factors = unpackCounts(slowdowns.factors, factorUnit);
		const ages = unpackCounts(slowdowns.ages, ageUnit);
		for (const server of this.directory.all()) {
			const digest = getServerDigest(server);
			const factor = factors.get(digest);
			const age = ages.get(digest);
			if (factor !== undefined && age !== undefined) {
				this.slowdowns.record(server, factor, now - age - transitAllowanceMs);
			}
		}
	}
}
