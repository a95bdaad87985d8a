import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';
import {AttemptCrashEvidence} from './attempt-crash-evidence.js';
import {type CrashRecorder} from './crash-recorder.js';
import {type RelayRequest} from './relay-request.js';

/** Backend servers that may lose attempts early. A request that two of them lost may crash each server to which it is sent. */
const maxLostServers = 2;
/** Attempts that may be lost early, also by servers that are alive since, so that no request that ends servers a while later runs without end. */
const maxEarlyLosses = 3;
/** Attempts that one backend server may lose early before the request is not sent to it again. */
const maxLossesOfServer = 2;

/** What is known about the processes of backend servers. */
export type ServerFates = {
	/** Whether a server is known to execute nothing any more. */
	readonly hasEnded: (server: BackendServer) => boolean;
	/** Whether a server has shown that it was still running at a monotonic time in milliseconds. */
	readonly hasOutlived: (server: BackendServer, time: number) => boolean;
};

type EarlyLosses = {
	readonly server: BackendServer;
	count: number;
	/** Monotonic time in milliseconds of the latest loss. */
	lostAt: number;
};

/** Collects what the attempts of one request show about whether it crashes backend servers. Times are monotonic milliseconds. */
export class CrashEvidence {
	private readonly suspects: readonly string[];
	/** By incarnation id. */
	private readonly earlyLosses = new Map<string, EarlyLosses>();

	constructor(
		private readonly guard: CrashRecorder,
		private readonly request: Pick<RelayRequest, 'promptParts' | 'fingerprint'>,
		private readonly fates: ServerFates,
	) {
		this.suspects = [...request.promptParts, request.fingerprint];
	}

	/** Whether the request must not be sent to a further server: it lost several servers early, or one and is a suspect of earlier crashes, or too many attempts. */
	get isConclusive(): boolean {
		const earlyLosses = [...this.earlyLosses.values()].reduce((sum, {count}) => sum + count, 0);
		const isSuspected = earlyLosses > 0 && this.guard.isSuspectedRequest(this.request.fingerprint);
		return isSuspected || earlyLosses >= maxEarlyLosses || this.countLostServers() >= maxLostServers;
	}

	/** Whether a server lost so many attempts of the request early that it must not get another one. */
	isExhausted(server: BackendServer): boolean {
		return (this.earlyLosses.get(getIncarnationId(server))?.count ?? 0) >= maxLossesOfServer;
	}

	/** Starts an attempt, and returns what collects its evidence. */
	beginAttempt(now: number): AttemptCrashEvidence {
		const {guard, suspects} = this;
		return new AttemptCrashEvidence({
			guard,
			suspects,
			onEarlyLoss: (server, lostAt) => {
				this.recordEarlyLoss(server, lostAt);
			},
		}, now);
	}

	private recordEarlyLoss(server: BackendServer, lostAt: number): void {
		const incarnationId = getIncarnationId(server);
		const losses = this.earlyLosses.get(incarnationId) ?? {server, count: 0, lostAt};
		losses.count++;
		losses.lostAt = lostAt;
		this.earlyLosses.set(incarnationId, losses);
	}

	private countLostServers(): number {
		return [...this.earlyLosses.values()].reduce((sum, losses) => sum + this.countProcesses(losses), 0);
	}

	/** Counts the processes that may have ended with the losses of a server. What one that has ended lost may have been lost by several processes at its address. Of one that may be alive only connections were lost, and one that has outlived the losses has not ended. */
	private countProcesses({server, count, lostAt}: EarlyLosses): number {
		if (this.fates.hasEnded(server)) {
			return count;
		}

		return this.fates.hasOutlived(server, lostAt) ? 0 : 1;
	}
}
