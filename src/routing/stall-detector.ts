import {type StreamRecoveryOptions} from './stream-recovery-options.js';

const maximumInspections = 4;
const backoffFactor = 1.5;
/** Fraction of the stall timeout after which a batch on a link is inspected again. Transit is short, so the second inspection can come early. */
const linkTimeoutFraction = 0.5;

/** Detects a stream without new tokens and limits how often its stages are inspected. */
export class StallDetector {
	private waitingSince: number;
	private inspections = 0;
	private isBatchOnLink = false;

	constructor(private readonly options: Pick<StreamRecoveryOptions, 'stallTimeout' | 'firstTokenTimeout'>, now: number) {
		this.waitingSince = now;
	}

	/** Whether the number of inspections after which a slow stage is replaced has been reached. */
	get isInspectionLimitReached(): boolean {
		return this.inspections >= maximumInspections;
	}

	/** Milliseconds since the last token or the last restart of the timer. */
	getIdleTime(now: number): number {
		return now - this.waitingSince;
	}

	/** Resets the timer and the inspections, after new tokens or the start of an attempt. */
	reset(now: number): void {
		this.waitingSince = now;
		this.inspections = 0;
		this.isBatchOnLink = false;
	}

	/** Restarts the timer after an inspection, keeping the number of inspections. */
	restartTimer(now: number): void {
		this.waitingSince = now;
	}

	/** Counts an inspection of the stages. */
	recordInspection(isBatchOnLink: boolean): void {
		this.inspections++;
		this.isBatchOnLink = isBatchOnLink;
	}

	/** Whether the stages must be inspected now. The timeout grows with each inspection. */
	isInspectionDue(now: number, hasTokens: boolean): boolean {
		if (this.isBatchOnLink) {
			return this.getIdleTime(now) > this.options.stallTimeout * linkTimeoutFraction;
		}

		const timeout = hasTokens ? this.options.stallTimeout : this.options.firstTokenTimeout;
		return this.getIdleTime(now) > timeout * (backoffFactor ** this.inspections);
	}
}
