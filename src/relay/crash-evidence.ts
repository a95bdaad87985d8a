import {type CrashGuard} from '../quarantine/crash-guard.js';
import {AttemptCrashEvidence} from './attempt-crash-evidence.js';
import {type RelayRequest} from './relay-request.js';

/** Attempts that may end early. A request that ended two of them may crash each server to which it is sent. */
const maxEarlyLosses = 2;

/** The part of a guard that learns from attempts. */
export type CrashRecorder = Pick<CrashGuard, 'recordProgress' | 'recordLoss' | 'isSuspectedRequest'>;

/** Collects what the attempts of one request show about whether it crashes backend servers. Times are monotonic milliseconds. */
export class CrashEvidence {
	private readonly suspects: readonly string[];
	private earlyLosses = 0;

	constructor(private readonly guard: CrashRecorder, private readonly request: Pick<RelayRequest, 'promptParts' | 'fingerprint'>) {
		this.suspects = [...request.promptParts, request.fingerprint];
	}

	/** Whether the request must not be sent to a further server: it lost several attempts early, or one and is a suspect of earlier crashes. */
	get isConclusive(): boolean {
		return this.earlyLosses >= maxEarlyLosses || (this.earlyLosses > 0 && this.guard.isSuspectedRequest(this.request.fingerprint));
	}

	/** Starts an attempt, and returns what collects its evidence. */
	beginAttempt(now: number): AttemptCrashEvidence {
		const {guard, suspects} = this;
		return new AttemptCrashEvidence({
			guard,
			suspects,
			onEarlyLoss: () => {
				this.earlyLosses++;
			},
		}, now);
	}
}
