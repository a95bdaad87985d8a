import {type CrashReport} from './crash-report.js';
import {type LostAttempt} from './lost-attempt.js';

type LostPart = {
	readonly sentAt: number;
	readonly lostAt: number;
};

type IncarnationLosses = {
	/** Monotonic time in milliseconds of the first of the latest losses that came together. */
	crashedAt: number;
	/** In the order in which the parts were last lost. */
	readonly parts: Map<string, LostPart>;
	/** Monotonic time in milliseconds; undefined until the crash is confirmed. */
	confirmedAt?: number;
	changedAt: number;
};

/** Connections that a crash breaks are seen to break within this time, one after another. */
const lossSpreadMs = 100;
const maxIncarnations = 100;
const maxPartsOfIncarnation = 1000;

/** Collects attempts that were lost before any event arrived, until it is known whether their backend server crashed. */
export class LostAttempts {
	/** In the order in which they last changed. */
	private readonly incarnations = new Map<string, IncarnationLosses>();

	/**
	@param confirmationTimeout - milliseconds for which a loss waits for the confirmation, and a confirmation for late losses
	*/
	constructor(private readonly confirmationTimeout: number) {}

	/**
	Adds a lost attempt. One that was sent after the server's connections broke is ignored, since it can't be the cause.

	@returns a report of the loss if the server is already known to have crashed
	*/
	record({incarnationId, parts, sentAt}: LostAttempt, now: number): CrashReport | undefined {
		const losses = this.touch(incarnationId, now);
		if (losses.confirmedAt === undefined && now - losses.crashedAt > lossSpreadMs) {
			losses.crashedAt = now;
		}

		if (sentAt >= losses.crashedAt || parts.length === 0) {
			return undefined;
		}

		if (losses.confirmedAt !== undefined) {
			return {incarnationId, crashedAt: losses.crashedAt, suspects: [...new Set(parts)].map(part => ({part, sentAt}))};
		}

		for (const part of parts) {
			const latestSentAt = Math.max(sentAt, losses.parts.get(part)?.sentAt ?? sentAt);
			losses.parts.delete(part);
			losses.parts.set(part, {sentAt: latestSentAt, lostAt: now});
		}

		for (const part of [...losses.parts.keys()].slice(0, Math.max(0, losses.parts.size - maxPartsOfIncarnation))) {
			losses.parts.delete(part);
		}

		return undefined;
	}

	/** Records that a server is known to have crashed; returns and forgets what was collected, or undefined if nothing was. */
	confirmCrash(incarnationId: string, now: number): CrashReport | undefined {
		const losses = this.touch(incarnationId, now);
		const suspects = [...losses.parts]
			.filter(([, {lostAt}]) => now - lostAt <= this.confirmationTimeout)
			.map(([part, {sentAt}]) => ({part, sentAt}));
		losses.parts.clear();
		losses.confirmedAt ??= now;
		return suspects.length === 0 ? undefined : {incarnationId, crashedAt: losses.crashedAt, suspects};
	}

	/** Returns the losses of an incarnation as the last changed; drops what is too old or too much. */
	private touch(incarnationId: string, now: number): IncarnationLosses {
		const losses = this.incarnations.get(incarnationId);
		const isCurrent = losses && now - losses.changedAt <= this.confirmationTimeout;
		const touched = isCurrent ? losses : {crashedAt: now, parts: new Map<string, LostPart>(), changedAt: now};
		touched.changedAt = now;
		this.incarnations.delete(incarnationId);
		this.incarnations.set(incarnationId, touched);
		for (const [id, {changedAt}] of this.incarnations) {
			if (now - changedAt <= this.confirmationTimeout && this.incarnations.size <= maxIncarnations) {
				break;
			}

			this.incarnations.delete(id);
		}

		return touched;
	}
}
