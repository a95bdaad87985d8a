import {type Control} from './control-wiring.js';
import {type DecisionLog} from './observation/decision-log.js';
import {type Metrics} from './observation/metrics.js';
import {type BackendServer} from './pipelines/backend-server.js';
import {type ServerDirectory} from './pipelines/server-directory.js';
import {type ServerHealthTracker} from './pipelines/server-health-tracker.js';
import {CrashAnalysis} from './quarantine/crash-analysis.js';
import {LostAttempts} from './quarantine/lost-attempts.js';
import {CrashGuard} from './quarantine/crash-guard.js';
import {type Quarantine} from './quarantine/quarantine.js';
import {type Failure} from './results/failure.js';
import {type TimerService} from './time/timer-service.js';

/** What a prompt guard is built from. */
export type QuarantineDependencies = Pick<Control, 'gossip' | 'quarantineRegister'> & {
	readonly directory: ServerDirectory;
	readonly serverHealth: ServerHealthTracker;
	readonly quarantine: Quarantine;
	readonly timers: TimerService;
	readonly metrics: Metrics;
	readonly log: DecisionLog;
};

/** What the other parts of the router are asked for. */
export type QuarantineEvents = {
	/** Queries a server that lost attempts; returns false if it must not be queried yet. */
	readonly checkServer: (server: BackendServer) => boolean;
	/** Called when a part becomes quarantined, to end the requests with it that are in progress. */
	readonly onQuarantine: (part: string, refusal: Failure) => void;
};

/** Durations in milliseconds; the others are counts. */
const analysisOptions = {
	minCrashes: 3,
	clearedMemory: 600_000,
	crashMemory: 600_000,
	maxClearedParts: 20_000,
	maxClearedRequests: 5000,
	maxCrashes: 200,
	maxSuspects: 200,
	maxCauses: 1000,
};
/** Time within which a server that lost attempts is found to have ended, in milliseconds. */
const confirmationTimeoutMs = 4000;
const checkIntervalMs = 100;
/** Time that a report may take from one instance to another, in milliseconds. */
const reportTimeErrorMs = 100;

/**
Creates the guard that finds and refuses prompts that crash backend servers.

@param quarantineDuration - how long requests with such a part are refused, in milliseconds
*/
export function wireCrashGuard(quarantineDuration: number, dependencies: QuarantineDependencies, events: QuarantineEvents): CrashGuard {
	const {gossip, quarantineRegister, directory, serverHealth, timers, metrics, log} = dependencies;
	return new CrashGuard({
		lostAttempts: new LostAttempts(confirmationTimeoutMs),
		analysis: new CrashAnalysis(analysisOptions),
		quarantine: dependencies.quarantine,
		reports: {
			reportCrash(report) {
				gossip.reportCrash(report);
			},
			reportCleared(parts) {
				gossip.reportCleared(parts);
			},
			publish(part, expiresAt) {
				quarantineRegister.publish(part, expiresAt);
			},
		},
		timers,
		metrics,
		log,
		hasEnded: server => serverHealth.hasEnded(server) || directory.isReplaced(server),
		...events,
	}, {
		quarantine: quarantineDuration, checkInterval: checkIntervalMs, confirmationTimeout: confirmationTimeoutMs, reportTimeError: reportTimeErrorMs,
	});
}
