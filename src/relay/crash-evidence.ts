import {type BackendServer} from '../pipelines/backend-server.js';
import {type PromptGuard} from '../quarantine/prompt-guard.js';

/** Time after its first event from which an attempt shows that its prompt does not crash the server that answers it. */
const soundDelayMs = 500;
/** Attempts that may end early. A stream that ended two of them may crash each server to which it is sent. */
const maxEarlyLosses = 2;

/** Collects what the attempts of one stream show about whether its prompt crashes backend servers. Times are monotonic milliseconds. */
export class CrashEvidence {
	private earlyLosses = 0;
	private sentAt = 0;
	private firstEventAt?: number;
	private isSound = false;

	/**
	@param parts - ids of the prompt parts that the stream shares with others
	*/
	constructor(private readonly guard: Pick<PromptGuard, 'recordProgress' | 'recordLoss'>, private readonly parts: readonly string[]) {}

	/** Whether the stream lost so many attempts early that it must not be sent to a further server. */
	get isConclusive(): boolean {
		return this.earlyLosses >= maxEarlyLosses;
	}

	/** Whether the current attempt has received an event. */
	get hasReceivedEvent(): boolean {
		return this.firstEventAt !== undefined;
	}

	/** Starts an attempt. */
	beginAttempt(now: number): void {
		this.sentAt = now;
		this.firstEventAt = undefined;
		this.isSound = false;
	}

	/** Records an event of the current attempt. */
	recordEvent(now: number): void {
		this.firstEventAt ??= now;
		if (now - this.firstEventAt >= soundDelayMs) {
			this.recordSound();
		}
	}

	/** Records that the current attempt shows that the prompt is sound. */
	recordSound(): void {
		if (!this.isSound) {
			this.isSound = true;
			this.guard.recordProgress(this.parts);
		}
	}

	/** Records that the connection of the current attempt to a first stage was lost. */
	recordLoss(firstStage: BackendServer): void {
		if (!this.isSound) {
			this.earlyLosses++;
			this.recordSilence(firstStage);
		}
	}

	/** Records that the current attempt was given up because a stage was silent, which is no loss of a server yet. */
	recordSilence(firstStage: BackendServer): void {
		if (!this.isSound) {
			this.guard.recordLoss(firstStage, this.parts, this.sentAt);
		}
	}
}
