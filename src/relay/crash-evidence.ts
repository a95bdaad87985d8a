import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';
import {type CrashGuard} from '../quarantine/crash-guard.js';
import {AttemptCrashEvidence} from './attempt-crash-evidence.js';
import {type RelayRequest} from './relay-request.js';

/** Backend servers that may lose attempts early. A request that two of them lost may crash each server to which it is sent. */
const maxLostServers = 2;
/** Attempts that one backend server may lose early before the request is not sent to it again. */
const maxLossesOfServer = 2;

/** The part of a guard that learns from attempts. */
export type CrashRecorder = Pick<CrashGuard, 'recordProgress' | 'recordLoss' | 'isSuspectedRequest'>;

type EarlyLosses = {
	readonly server: BackendServer;
	count: number;
};

/** Collects what the attempts of one request show about whether it crashes backend servers. Times are monotonic milliseconds. */
export class CrashEvidence {
	private readonly suspects: readonly string[];
	/** By incarnation id. */
	private readonly earlyLosses = new Map<string, EarlyLosses>();

	/**
	@param hasEnded - whether a server is known to execute nothing any more
	*/
	constructor(
		private readonly guard: CrashRecorder,
		private readonly request: Pick<RelayRequest, 'promptParts' | 'fingerprint'>,
		private readonly hasEnded: (server: BackendServer) => boolean,
	) {
		this.suspects = [...request.promptParts, request.fingerprint];
	}

	/** Whether the request must not be sent to a further server: it lost several servers early, or one and is a suspect of earlier crashes. */
	get isConclusive(): boolean {
		return this.countLostServers() >= maxLostServers || (this.earlyLosses.size > 0 && this.guard.isSuspectedRequest(this.request.fingerprint));
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
			onEarlyLoss: server => {
				this.recordEarlyLoss(server);
			},
		}, now);
	}

	private recordEarlyLoss(server: BackendServer): void {
		const incarnationId = getIncarnationId(server);
		const losses = this.earlyLosses.get(incarnationId) ?? {server, count: 0};
		losses.count++;
		this.earlyLosses.set(incarnationId, losses);
	}

	/** Counts a server that may be alive once, since only its connections were lost. What one that has ended lost may have been lost by several processes at its address. */
	private countLostServers(): number {
		return [...this.earlyLosses.values()]
			.map(({server, count}) => this.hasEnded(server) ? count : 1)
			.reduce((sum, count) => sum + count, 0);
	}
}
