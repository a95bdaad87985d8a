import {isRepeatable} from '../../catalog/route.js';
import {type BackendServer} from '../../pipelines/backend-server.js';
import {SuspicionCause} from '../../pipelines/suspicion-cause.js';
import {type AttemptCrashEvidence} from '../attempt-crash-evidence.js';
import {
	AttemptFailureReason, getSuspicionCause, isUnsent, type AttemptFailure,
} from '../attempt-failure.js';
import {type RunningAttempt} from '../backend-client.js';
import {CrashEvidence} from '../crash-evidence.js';
import {type ExchangeDependencies} from '../exchange-dependencies.js';
import {type RelayRequest} from '../relay-request.js';
import {ResponseBuffer} from '../response-buffer.js';
import {ResponseVerdict} from '../response-verdict.js';
import {type PlainExchangeDependencies} from './plain-exchange-dependencies.js';
import {PlainAttempt, type PlainAttemptHandler} from './plain-attempt.js';
import {type PlainLog} from './plain-log.js';
import {type PlainServerChoice} from './plain-server-choice.js';

/** The attempts of one plain request: sends them, and records what they show about their servers. */
export class PlainAttempts {
	private readonly inProgress = new Set<PlainAttempt>();
	private executionCount = 0;
	private readonly crashEvidence: CrashEvidence;

	constructor(
		private readonly dependencies: ExchangeDependencies & PlainExchangeDependencies,
		private readonly request: RelayRequest,
		private readonly servers: PlainServerChoice,
		private readonly log: PlainLog,
	) {
		const {crashGuard, directory, serverHealth} = dependencies;
		this.crashEvidence = new CrashEvidence(crashGuard, request, {
			hasEnded: server => directory.isReplaced(server) || serverHealth.hasEnded(server),
			hasOutlived: (server, time) => serverHealth.hasOutlived(server, time),
		});
	}

	/** The attempts in progress. */
	get all(): readonly PlainAttempt[] {
		return [...this.inProgress];
	}

	/** The transmissions in progress. */
	get transmissions(): readonly RunningAttempt[] {
		return this.all.flatMap(({running}) => running ?? []);
	}

	/** Number of attempts that were or may have been executed, including those in progress. */
	get executions(): number {
		return this.executionCount;
	}

	/** Whether the attempts show that the request must not be sent to a further server. */
	get isCrashEvident(): boolean {
		return this.crashEvidence.isConclusive;
	}

	/** Whether an attempt in progress has received the head of a response. */
	get hasHead(): boolean {
		return this.all.some(({head}) => head);
	}

	/** Milliseconds after which an attempt that is sent now counts as silent. */
	get responseTimeout(): number {
		const {remaining, request: {route}, dependencies: {limits}} = this;
		return Math.min(remaining / 2, route.latencyTarget * limits.responseTimeoutFraction);
	}

	/**
	Sends an attempt.

	@param number - number of the attempt within its request; the first one has 1
	*/
	send(server: BackendServer, number: number, handler: PlainAttemptHandler): void {
		const {dependencies: {client, directory, serverHealth, timers}, request, remaining} = this;
		const now = timers.now();
		const attempt = this.begin(server, number, handler);
		// On a kept connection, a repeated response to the earlier attempt could not be told from the one to this attempt: both have the id of the request.
		const needsNewConnection = !isRepeatable(request.route) || this.servers.hasTried(server);
		this.servers.recordTried(server);
		serverHealth.recordDispatch(server, now);
		this.log.logSent(attempt, remaining, now - directory.lastReadAt);
		attempt.running = client.send({
			request, server, remaining, needsNewConnection,
		}, attempt);
	}

	/** Takes an attempt that is over out of those in progress. */
	remove(attempt: PlainAttempt): void {
		this.inProgress.delete(attempt);
		attempt.releaseLoad();
	}

	/** Takes all attempts out of those in progress. */
	clear(): void {
		for (const attempt of this.all) {
			this.remove(attempt);
		}
	}

	/** Cancels attempts that others make superfluous. */
	cancel(attempts: readonly PlainAttempt[]): void {
		for (const attempt of attempts) {
			attempt.cancel();
			this.remove(attempt);
			this.log.logCancelled(attempt);
			if (attempt.isSilent(this.dependencies.timers.now())) {
				attempt.evidence.recordSilence(attempt.server);
			}
		}
	}

	/** Records that the attempts in progress are silent and that another one is sent as well, so that their servers get fewer requests. */
	recordSilence(): void {
		const {selector, timers} = this.dependencies;
		const now = timers.now();
		for (const attempt of this.all.filter(({isHedged}) => !isHedged)) {
			attempt.isHedged = true;
			selector.recordFailure(attempt.server, now);
			this.log.logHedged(attempt, now - attempt.sentAt);
		}
	}

	/** Records a complete response. */
	recordResponse({server, evidence}: PlainAttempt, verdict: ResponseVerdict): void {
		const {selector, serverHealth, timers} = this.dependencies;
		if (verdict === ResponseVerdict.NotExecuted) {
			this.executionCount--;
			serverHealth.recordRejection(server, timers.now());
			return;
		}

		evidence.recordHarmless();
		if (verdict === ResponseVerdict.ServerError || verdict === ResponseVerdict.UnfoundedRefusal) {
			selector.recordFailure(server, timers.now());
		} else if (verdict === ResponseVerdict.Final) {
			serverHealth.clearSuspicion(server, timers.now());
		}
	}

	/** Records that an attempt ended without a complete response. */
	recordFailure({server, evidence, isHedged}: PlainAttempt, {reason, detail}: AttemptFailure): void {
		const {selector, serverHealth, timers} = this.dependencies;
		const now = timers.now();
		selector.recordFailure(server, now);
		if (reason === AttemptFailureReason.ConnectionLost && isHedged) {
			// A silent attempt that is lost is no further sign of a crash.
			evidence.recordSilence(server);
		} else if (reason === AttemptFailureReason.ConnectionLost) {
			this.recordLoss(server, evidence);
		} else if (reason === AttemptFailureReason.ExcessiveResponse) {
			serverHealth.suspect(server, detail, now, SuspicionCause.Failing);
		}

		if (isUnsent(reason)) {
			this.executionCount--;
			serverHealth.suspect(server, detail, now, getSuspicionCause(reason));
		}
	}

	/** Records that the connection of an attempt was lost. A server that loses several of them is not used again, although it may be alive. */
	private recordLoss(server: BackendServer, evidence: AttemptCrashEvidence): void {
		evidence.recordLoss(server, this.dependencies.timers.now());
		if (this.crashEvidence.isExhausted(server)) {
			this.servers.exclude(server);
		}
	}

	/** Milliseconds left until the deadline of the final reply. */
	private get remaining(): number {
		return this.request.deadline - this.dependencies.timers.now();
	}

	/** Begins an attempt, which counts as an execution and in the load of its server from now on. */
	private begin(server: BackendServer, number: number, handler: PlainAttemptHandler): PlainAttempt {
		const {dependencies: {load, timers, limits}, crashEvidence, responseTimeout} = this;
		const handle = load.start([{server, range: {from: 0, to: 0}}], 0);
		const attempt = new PlainAttempt({
			server,
			number,
			sentAt: timers.now(),
			responseTimeout,
			response: new ResponseBuffer(limits.maxBufferedBytes),
			evidence: crashEvidence.beginAttempt(timers.now()),
			releaseLoad() {
				handle.release();
			},
		}, handler);
		this.executionCount++;
		this.inProgress.add(attempt);
		return attempt;
	}
}
