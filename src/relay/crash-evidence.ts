import {type BackendServer} from '../pipelines/backend-server.js';
import {type CrashGuard} from '../quarantine/crash-guard.js';
import {type RelayRequest} from './relay-request.js';

/** Time after its first event from which an attempt shows that its request does not crash the server that answers it. */
const harmlessDelayMs = 500;
/** Attempts that may end early. A request that ended two of them may crash each server to which it is sent. */
const maxEarlyLosses = 2;

/** The part of a guard that learns from attempts. */
export type CrashRecorder = Pick<CrashGuard, 'recordProgress' | 'recordLoss' | 'isSuspectedRequest'>;

/** Collects what the attempts of one request show about whether it crashes backend servers. Times are monotonic milliseconds. */
export class CrashEvidence {
	private readonly suspects: readonly string[];
	private earlyLosses = 0;
	private sentAt = 0;
	private firstEventAt?: number;
	private isCleared = false;

	constructor(private readonly guard: CrashRecorder, private readonly request: Pick<RelayRequest, 'promptParts' | 'fingerprint'>) {
		this.suspects = [...request.promptParts, request.fingerprint];
	}

	/** Whether the request must not be sent to a further server: it lost several attempts early, or one and is a suspect of earlier crashes. */
	get isConclusive(): boolean {
		return this.earlyLosses >= maxEarlyLosses || (this.earlyLosses > 0 && this.guard.isSuspectedRequest(this.request.fingerprint));
	}

	/** Whether the current attempt has received an event. */
	get hasReceivedEvent(): boolean {
		return this.firstEventAt !== undefined;
	}

	/** Starts an attempt. */
	beginAttempt(now: number): void {
		this.sentAt = now;
		this.firstEventAt = undefined;
		this.isCleared = false;
	}

	/** Records an event of the current attempt. */
	recordEvent(now: number): void {
		this.firstEventAt ??= now;
		if (now - this.firstEventAt >= harmlessDelayMs) {
			this.recordHarmless();
		}
	}

	/** Records that the current attempt clears the request of crashing servers. */
	recordHarmless(): void {
		if (!this.isCleared) {
			this.isCleared = true;
			this.guard.recordProgress(this.suspects);
		}
	}

	/** Records that the connection of the current attempt to its server or first stage was lost. */
	recordLoss(server: BackendServer): void {
		if (!this.isCleared) {
			this.earlyLosses++;
			this.recordSilence(server);
		}
	}

	/** Records that the current attempt was given up because a server was silent, which is no loss of a server yet. */
	recordSilence(server: BackendServer): void {
		if (!this.isCleared) {
			this.guard.recordLoss(server, this.suspects, this.sentAt);
		}
	}
}
