import {type BackendServer} from '../pipelines/backend-server.js';
import {type CrashRecorder} from './crash-recorder.js';

/** Time after its first event from which an attempt shows that its request does not crash the server that answers it. */
const harmlessDelayMs = 500;

/** What the evidence of one attempt is about and where it is recorded. */
export type AttemptCrashEvidenceDependencies = {
	readonly guard: Pick<CrashRecorder, 'recordProgress' | 'recordLoss'>;
	/** The prompt parts and the fingerprint of the request. */
	readonly suspects: readonly string[];
	/** Called with the server or first stage of the attempt, and the time, when the attempt is lost before it has cleared the request. */
	readonly onEarlyLoss: (server: BackendServer, lostAt: number) => void;
};

/** Collects what one attempt shows about whether its request crashes backend servers. Times are monotonic milliseconds. */
export class AttemptCrashEvidence {
	private firstEventAt?: number;
	private isCleared = false;

	/**
	@param sentAt - monotonic time in milliseconds at which the attempt was sent
	*/
	constructor(private readonly dependencies: AttemptCrashEvidenceDependencies, private readonly sentAt: number) {}

	/** Whether the attempt has received an event. */
	get hasReceivedEvent(): boolean {
		return this.firstEventAt !== undefined;
	}

	/** Records an event of the attempt. */
	recordEvent(now: number): void {
		this.firstEventAt ??= now;
		if (now - this.firstEventAt >= harmlessDelayMs) {
			this.recordHarmless();
		}
	}

	/** Records that the attempt clears the request of crashing servers. */
	recordHarmless(): void {
		if (!this.isCleared) {
			this.isCleared = true;
			this.dependencies.guard.recordProgress(this.dependencies.suspects);
		}
	}

	/** Records that the connection of the attempt to its server or first stage was lost. */
	recordLoss(server: BackendServer, now: number): void {
		if (!this.isCleared) {
			this.dependencies.onEarlyLoss(server, now);
			this.recordSilence(server);
		}
	}

	/** Records that the attempt was given up because a server was silent, which is no loss of a server yet. */
	recordSilence(server: BackendServer): void {
		if (!this.isCleared) {
			this.dependencies.guard.recordLoss(server, this.dependencies.suspects, this.sentAt);
		}
	}
}
