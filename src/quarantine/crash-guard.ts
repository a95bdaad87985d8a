import {type DecisionLog} from '../observation/decision-log.js';
import {type Metrics} from '../observation/metrics.js';
import {getIncarnationId, type BackendServer} from '../pipelines/backend-server.js';
import {Execution} from '../results/execution.js';
import {Failure} from '../results/failure.js';
import {ResultCode} from '../results/result-code.js';
import {type TimerService} from '../time/timer-service.js';
import {type CrashCause} from './crash-cause.js';
import {type CrashAnalysis} from './crash-analysis.js';
import {type CrashReport} from './crash-report.js';
import {type LostAttempts} from './lost-attempts.js';
import {QuarantineOrigin} from './quarantine-origin.js';
import {isRequestFingerprint} from './request-fingerprint.js';
import {type Quarantine, type QuarantinedPart} from './quarantine.js';

/** What a crash guard tells the other instances. A part is the id of a prompt part or the fingerprint of a request here, as in all of this folder. */
export type GuardReports = {
	/** Sends a crash that this instance saw to the other instances. */
	readonly reportCrash: (report: CrashReport) => void;
	/** Tells the other instances of suspected parts that work. */
	readonly reportCleared: (parts: readonly string[]) => void;
	/** Stores a quarantine; `expiresAt` is Unix time in milliseconds. */
	readonly publish: (part: string, expiresAt: number) => void;
};

/** Dependencies of a crash guard. */
export type CrashGuardDependencies = {
	readonly lostAttempts: LostAttempts;
	readonly analysis: CrashAnalysis;
	readonly quarantine: Quarantine;
	readonly reports: GuardReports;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
	/** Whether it is proven that the process of a server has ended. */
	readonly hasEnded: (server: BackendServer) => boolean;
	/** Queries a server, so that one that has ended is found out; returns false if it must not be queried yet. */
	readonly checkServer: (server: BackendServer) => boolean;
	/** Called when a part becomes quarantined, to end the requests with it that are in progress. */
	readonly onQuarantine: (part: string, refusal: Failure) => void;
};

/** Durations of a crash guard, in milliseconds. */
export type CrashGuardTimings = {
	/** How long requests with a part that crashes servers are refused. */
	readonly quarantine: number;
	/** Interval between checks whether servers that lost attempts have ended. */
	readonly checkInterval: number;
	/** How long a server that lost attempts is checked. */
	readonly confirmationTimeout: number;
	/** Error of the times in reports of other instances. */
	readonly reportTimeError: number;
};

type LostServer = {
	readonly server: BackendServer;
	/** Monotonic time in milliseconds of the latest lost attempt. */
	readonly lostAt: number;
	/** Whether a query of the server began since then. */
	isChecked: boolean;
};

const millisecondsPerSecond = 1000;
/** Suspects of a crash that are logged. */
const maxLoggedSuspects = 16;

/** Finds the prompt parts and requests that crash backend servers, from the attempts of this instance and the reports of the others, and refuses requests with them. */
export class CrashGuard {
	/** Servers that lost attempts and are not known to have ended, by incarnation id. */
	private readonly lostServers = new Map<string, LostServer>();

	constructor(private readonly dependencies: CrashGuardDependencies, private readonly timings: CrashGuardTimings) {}

	/** Starts the periodic checks. */
	start(): void {
		this.dependencies.timers.repeat(this.timings.checkInterval, () => {
			this.confirmCrashes();
			this.releaseExpired();
		});
	}

	/** Throws Failure if a request with the parts is to be refused. */
	check(parts: readonly string[]): void {
		const quarantined = this.dependencies.quarantine.findQuarantined(parts, this.dependencies.timers.now());
		if (quarantined) {
			throw this.createRefusal(quarantined);
		}
	}

	/** Whether a request is a suspect of a crash. */
	isSuspectedRequest(fingerprint: string): boolean {
		return this.dependencies.analysis.isSuspectedRequest(fingerprint);
	}

	/** Records that a backend server answers a request with the parts, so that they are cleared. */
	recordProgress(parts: readonly string[]): void {
		this.quarantineCauses(this.dependencies.analysis.recordProgress(parts, this.dependencies.timers.now()));
	}

	/**
	Records that an attempt ended before it cleared its parts, because its connection was lost or its server fell silent.

	@param sentAt - monotonic time in milliseconds
	*/
	recordLoss(server: BackendServer, parts: readonly string[], sentAt: number): void {
		const {lostAttempts, timers, checkServer} = this.dependencies;
		const now = timers.now();
		const incarnationId = getIncarnationId(server);
		const report = lostAttempts.record({incarnationId, parts, sentAt}, now);
		if (report) {
			this.handleOwnReport(report);
			return;
		}

		this.lostServers.set(incarnationId, {server, lostAt: now, isChecked: checkServer(server)});
	}

	/** Adds a crash that another instance saw. Parts that work here are cleared. */
	receiveReport(report: CrashReport): void {
		const {analysis, reports, timers} = this.dependencies;
		const now = timers.now();
		const cleared = analysis.findCleared(report.suspects.map(({part}) => part), now);
		if (cleared.length > 0) {
			reports.reportCleared(cleared);
		}

		this.quarantineCauses(analysis.recordCrash(report, now, this.timings.reportTimeError));
	}

	/** Records that another instance saw parts work. */
	receiveCleared(parts: readonly string[]): void {
		const {analysis, timers} = this.dependencies;
		this.quarantineCauses(analysis.recordCleared(parts, timers.now()));
	}

	/**
	Applies a quarantine that another instance decided.

	@param expiresAt - Unix time in milliseconds
	*/
	receiveQuarantine(part: string, expiresAt: number, origin: QuarantineOrigin): void {
		const {analysis, timers} = this.dependencies;
		const duration = Math.min(expiresAt - timers.wallClock(), this.timings.quarantine);
		analysis.accept(part);
		this.addQuarantine(part, duration, origin);
	}

	private confirmCrashes(): void {
		const {lostAttempts, timers, hasEnded, checkServer} = this.dependencies;
		const now = timers.now();
		for (const [incarnationId, lostServer] of this.lostServers) {
			const {server, lostAt} = lostServer;
			const isConfirmed = hasEnded(server);
			if (isConfirmed || now - lostAt > this.timings.confirmationTimeout) {
				this.lostServers.delete(incarnationId);
			}

			lostServer.isChecked ||= isConfirmed || checkServer(server);
			const report = isConfirmed ? lostAttempts.confirmCrash(incarnationId, now) : undefined;
			if (report) {
				this.handleOwnReport(report);
			}
		}
	}

	private handleOwnReport(report: CrashReport): void {
		const {analysis, reports, timers, log} = this.dependencies;
		const now = timers.now();
		const suspected = analysis.filterSuspects(report, now);
		const suspects = suspected?.suspects.slice(0, maxLoggedSuspects).map(({part}) => part).join(' ');
		log.warn('server.crashed', {
			server: report.incarnationId, agoMs: Math.round(now - report.crashedAt), parts: report.suspects.length, suspects,
		});
		if (suspected) {
			reports.reportCrash(suspected);
			this.quarantineCauses(analysis.recordCrash(suspected, now));
		}
	}

	private quarantineCauses(causes: readonly CrashCause[]): void {
		const {reports, timers} = this.dependencies;
		for (const {part, crashes} of causes) {
			this.addQuarantine(part, this.timings.quarantine, QuarantineOrigin.Analysis, crashes);
			reports.publish(part, timers.wallClock() + this.timings.quarantine);
		}
	}

	private addQuarantine(part: string, duration: number, origin: QuarantineOrigin, crashes?: number): void {
		const {quarantine, timers, metrics, log, onQuarantine} = this.dependencies;
		const expiresAt = timers.now() + duration;
		if (!quarantine.add(part, expiresAt)) {
			return;
		}

		metrics.count('siskinnotch_prompt_quarantines', 1, {origin});
		log.warn('prompt.quarantined', {
			part, origin, crashes, forMs: Math.round(duration),
		});
		onQuarantine(part, this.createRefusal({part, expiresAt}));
	}

	/** Returns the failure of a request with a quarantined part that was not executed. */
	private createRefusal({part, expiresAt}: QuarantinedPart): Failure {
		const subject = isRequestFingerprint(part) ? 'the request' : `prompt part ${part}`;
		const seconds = Math.max(1, Math.ceil((expiresAt - this.dependencies.timers.now()) / millisecondsPerSecond));
		return new Failure(ResultCode.RequestQuarantined, `${subject} is quarantined, since backend servers crashed on it`, Execution.NotRun, seconds);
	}

	private releaseExpired(): void {
		const {quarantine, analysis, timers, log} = this.dependencies;
		for (const part of quarantine.removeExpired(timers.now())) {
			analysis.release(part);
			log.write('prompt.released', {part});
		}
	}
}
