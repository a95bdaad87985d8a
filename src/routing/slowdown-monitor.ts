import {type RouteAttempt} from './route-attempt.js';
import {TokenRateMonitor} from './token-rate-monitor.js';

const maximumInspections = 2;

/** Decides when the stages of a stream that has become slow are inspected, so that it can move to other servers. */
export class SlowdownMonitor {
	private readonly tokenRate: TokenRateMonitor;
	private inspections = 0;
	/** Number of the attempt to which the current token rate belongs. */
	private attempt = 0;

	/**
	@param slowGap - milliseconds between tokens up to which a stream never counts as slow
	*/
	constructor(slowGap: number) {
		this.tokenRate = new TokenRateMonitor(slowGap);
	}

	/**
	Records tokens of an attempt that arrived together.

	@param now - monotonic time in milliseconds
	*/
	record(attempt: RouteAttempt, tokens: number, now: number): void {
		if (attempt.number !== this.attempt) {
			this.tokenRate.reset();
			this.attempt = attempt.number;
		}

		this.tokenRate.record(tokens, attempt.getIdleTime(now));
		if (attempt.silentServers.size > 0) {
			// The pause of a server is not its token rate.
			this.tokenRate.reset();
		}
	}

	/** Whether to inspect the stages, because the attempt has become much slower than before. Counts the inspection. */
	tryBeginInspection(attempt: RouteAttempt): boolean {
		if (attempt.isInspectingSlowdown || this.inspections >= maximumInspections || !this.tokenRate.hasSlowedDown()) {
			return false;
		}

		this.inspections++;
		attempt.isInspectingSlowdown = true;
		return true;
	}
}
