import {type StreamRecoveryOptions} from './stream-recovery-options.js';

const mostInspections = 4;
const growth = 1.5;
/** A batch is on a link for a short time only, so the second look at one comes early. */
const linkLookShare = 0.5;

/** Watches how long a stream has had no token, and how often its stages were inspected for it. */
export class StallDetector {
	private since: number;
	private inspections = 0;
	private isBatchOnLink = false;

	constructor(private readonly terms: Pick<StreamRecoveryOptions, 'stall' | 'firstStall'>, now: number) {
		this.since = now;
	}

	/** Whether it was inspected as often as a slow stage is waited for. */
	get isInspectionLimitReached(): boolean {
		return this.inspections >= mostInspections;
	}

	/** Milliseconds since the last token or the last restart of the wait. */
	getIdleTime(now: number): number {
		return now - this.since;
	}

	/** Tokens came, or a new attempt began. */
	reset(now: number): void {
		this.since = now;
		this.inspections = 0;
		this.isBatchOnLink = false;
	}

	/** The wait begins again after an inspection. */
	restartTimer(now: number): void {
		this.since = now;
	}

	/** The stages were inspected. */
	recordInspection(isBatchOnLink: boolean): void {
		this.inspections++;
		this.isBatchOnLink = isBatchOnLink;
	}

	/** Whether the stages are to be inspected. */
	isInspectionDue(now: number, hasTokens: boolean): boolean {
		if (this.isBatchOnLink) {
			return this.getIdleTime(now) > this.terms.stall * linkLookShare;
		}

		const base = hasTokens ? this.terms.stall : this.terms.firstStall;
		return this.getIdleTime(now) > base * (growth ** this.inspections);
	}
}
