import {type KnownLimit, type ServerLimits} from '../backpressure/server-limits.js';
import {type GossipMessage, type ReportedLimit} from './gossip-message.js';
import {transitAllowanceMs} from './transit-allowance.js';
import {takeInTurn} from './take-in-turn.js';

/** Time after a change for which each message carries it, in milliseconds. */
const newsLifetimeMs = 3000;
/** Limits with recent changes that a message carries at most. */
const maxNewsInMessage = 32;
/** Other limits that a message carries, in turn, for those that missed the news. */
const repeatedLimits = 4;
/** Limits that a message to a joining instance carries at most. */
const maxLimitsForJoining = 500;

/** Passes the limits that backend servers name on among the instances. */
export class LimitExchange {
	/** Number of messages so far. */
	private messages = 0;

	constructor(private readonly limits: ServerLimits) {}

	/**
	Returns the limits for a message.

	@param isJoining - whether the recipient asks for all that it lacks
	*/
	getCurrent(isJoining: boolean, now: number): Pick<GossipMessage, 'limits'> {
		const all = this.limits.findStatements();
		const selected = isJoining ? all.slice(0, maxLimitsForJoining) : this.selectLimits(all, now);
		const limits = selected.map(({incarnationId, perSecond, statedAt}): ReportedLimit =>
			({life: incarnationId, perSecond, age: Math.max(0, Math.round(now - statedAt))}));
		return limits.length > 0 ? {limits} : {};
	}

	/** Applies the limits of a message. */
	receive({limits = []}: Pick<GossipMessage, 'limits'>, now: number): void {
		for (const {life: incarnationId, perSecond, age} of limits) {
			this.limits.apply({incarnationId, perSecond, statedAt: now - age - transitAllowanceMs}, now);
		}
	}

	/** Selects the limits that changed lately, and some of the others in turn. */
	private selectLimits(all: readonly KnownLimit[], now: number): readonly KnownLimit[] {
		const news = all.filter(({changedAt}) => now - changedAt <= newsLifetimeMs).slice(0, maxNewsInMessage);
		return [...news, ...takeInTurn(all.slice(news.length), repeatedLimits, this.messages++)];
	}
}
