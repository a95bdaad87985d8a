import {type Logger} from 'winston';
import {type TimerService} from '../time/timer-service.js';

/** The inputs and the outcome of a decision, by name. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | undefined>>;

type Allowance = {
	tokens: number;
	filledAt: number;
	suppressed: number;
};

/** How many lines of one kind are written. */
export type LogRateLimit = {
	/** Lines a second over a longer time. */
	readonly perSecond: number;
	/** Lines at once after a quiet time. */
	readonly burst: number;
};

const millisecondsOfSecond = 1000;
/** Failures are kept longer than other lines when there is too much to write. */
const failureFactor = 4;

/**
Writes one structured line for each decision. Each kind of line has a rate with a burst; the next line that fits says how many were left out before it.

The kind is `part.event`, such as `catalog.taken`.
*/
export class DecisionLog {
	private readonly allowances = new Map<string, Allowance>();

	constructor(private readonly log: Logger, private readonly timers: TimerService, private readonly rate: LogRateLimit) {}

	/** A decision of the usual course. */
	write(kind: string, fields: DecisionFields): void {
		this.add('info', kind, fields, 1);
	}

	/** A failure, a refusal or a belief that something is wrong. */
	warn(kind: string, fields: DecisionFields): void {
		this.add('warn', kind, fields, failureFactor);
	}

	private add(level: string, kind: string, fields: DecisionFields, factor: number): void {
		const allowance = this.refill(kind, factor);
		if (allowance.tokens < 1) {
			allowance.suppressed++;
			return;
		}

		allowance.tokens--;
		const {suppressed} = allowance;
		allowance.suppressed = 0;
		this.log.log({
			level, message: kind, at: Math.round(this.timers.now()), ...fields, ...(suppressed > 0 && {suppressed}),
		});
	}

	private refill(kind: string, factor: number): Allowance {
		const now = this.timers.now();
		const burst = this.rate.burst * factor;
		const allowance = this.allowances.get(kind) ?? {tokens: burst, filledAt: now, suppressed: 0};
		const gained = (now - allowance.filledAt) / millisecondsOfSecond * this.rate.perSecond * factor;
		allowance.tokens = Math.min(burst, allowance.tokens + gained);
		allowance.filledAt = now;
		this.allowances.set(kind, allowance);
		return allowance;
	}
}
