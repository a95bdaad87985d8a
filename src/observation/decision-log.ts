import {type Logger} from 'winston';
import {type TimerService} from '../time/timer-service.js';

/** Inputs and outcome of a decision, by field name. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | undefined>>;

type TokenBucket = {
	tokens: number;
	refilledAt: number;
	suppressed: number;
};

/** Rate limit of the lines of one event type. */
export type LogRateLimit = {
	/** Sustained number of lines per second. */
	readonly perSecond: number;
	/** Number of lines that may be written at once after an idle period. */
	readonly burst: number;
};

const millisecondsPerSecond = 1000;
/** Warnings get a multiple of the rate of other lines, so that they are suppressed last under load. */
const warningRateFactor = 4;

/**
Writes a structured log line for each decision. Each event type is rate-limited by a token bucket; the next line within the limit carries the number of lines suppressed before it.

The event type has the form `part.event`, such as `catalog.taken`.
*/
export class DecisionLog {
	private readonly buckets = new Map<string, TokenBucket>();

	constructor(private readonly log: Logger, private readonly timers: TimerService, private readonly rateLimit: LogRateLimit) {}

	/** Logs a decision of normal operation. */
	write(event: string, fields: DecisionFields): void {
		this.writeRateLimited('info', event, fields, 1);
	}

	/** Logs a failure, a refusal or a suspected fault. */
	warn(event: string, fields: DecisionFields): void {
		this.writeRateLimited('warn', event, fields, warningRateFactor);
	}

	private writeRateLimited(level: string, event: string, fields: DecisionFields, rateFactor: number): void {
		const bucket = this.refill(event, rateFactor);
		if (bucket.tokens < 1) {
			bucket.suppressed++;
			return;
		}

		bucket.tokens--;
		const {suppressed} = bucket;
		bucket.suppressed = 0;
		this.log.log({
			level, message: event, at: Math.round(this.timers.now()), ...fields, ...(suppressed > 0 && {suppressed}),
		});
	}

	private refill(event: string, rateFactor: number): TokenBucket {
		const now = this.timers.now();
		const burst = this.rateLimit.burst * rateFactor;
		const bucket = this.buckets.get(event) ?? {tokens: burst, refilledAt: now, suppressed: 0};
		const gained = (now - bucket.refilledAt) / millisecondsPerSecond * this.rateLimit.perSecond * rateFactor;
		bucket.tokens = Math.min(burst, bucket.tokens + gained);
		bucket.refilledAt = now;
		this.buckets.set(event, bucket);
		return bucket;
	}
}
