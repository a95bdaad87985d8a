import {type Quarantine} from '../quarantine/quarantine.js';
import {type TimerService} from '../time/timer-service.js';
import {type GossipMessage} from './gossip-message.js';
import {takeInTurn} from './take-in-turn.js';

/** Quarantines that each message carries: the newest ones. */
const newestInMessage = 4;
/** Older quarantines that a message carries, in turn. */
const repeatedInMessage = 4;
/** Quarantines that a message to a joining instance carries at most. */
const maxForJoining = 200;

/** Passes quarantines on among the instances, also while the store that keeps them is unavailable. */
export class QuarantineExchange {
	/** Number of messages so far. */
	private messages = 0;

	/**
	@param onQuarantine - called for each quarantine in a message that is not in force here; `expiresAt` is Unix time in milliseconds
	*/
	constructor(private readonly quarantine: Quarantine, private readonly timers: TimerService, private readonly onQuarantine: (part: string, expiresAt: number) => void) {}

	/**
	Returns the quarantines for a message.

	@param isJoining - whether the recipient asks for all that it lacks
	*/
	getCurrent(isJoining: boolean): Pick<GossipMessage, 'quarantines'> {
		const {timers} = this;
		const clockOffset = timers.wallClock() - timers.now();
		const newestFirst = this.quarantine.all().toReversed();
		const selected = isJoining
			? newestFirst.slice(0, maxForJoining)
			: [...newestFirst.slice(0, newestInMessage), ...takeInTurn(newestFirst.slice(newestInMessage), repeatedInMessage, this.messages++)];
		return selected.length === 0 ? {} : {quarantines: selected.map(({part, expiresAt}) => ({part, expiresAt: Math.round(expiresAt + clockOffset)}))};
	}

	/** Applies the quarantines of a message. */
	receive({quarantines = []}: Pick<GossipMessage, 'quarantines'>): void {
		const wallClock = this.timers.wallClock();
		for (const {part, expiresAt} of quarantines) {
			if (expiresAt > wallClock && !this.quarantine.has(part)) {
				this.onQuarantine(part, expiresAt);
			}
		}
	}
}
