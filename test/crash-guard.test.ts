import test from 'ava';
import {Metrics} from '../src/observation/metrics.js';
import {getIncarnationId, type BackendServer} from '../src/pipelines/backend-server.js';
import {CrashAnalysis} from '../src/quarantine/crash-analysis.js';
import {type CrashReport} from '../src/quarantine/crash-report.js';
import {LostAttempts} from '../src/quarantine/lost-attempts.js';
import {CrashGuard} from '../src/quarantine/crash-guard.js';
import {Quarantine} from '../src/quarantine/quarantine.js';
import {QuarantineOrigin} from '../src/quarantine/quarantine-origin.js';
import {Execution} from '../src/results/execution.js';
import {Failure} from '../src/results/failure.js';
import {ResultCode} from '../src/results/result-code.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {RecordingLog, sampleServer} from './support/sample-fleet.js';

const quarantineMs = 600_000;
const timings = {
	quarantine: quarantineMs, checkInterval: 100, confirmationTimeout: 3000, reportTimeError: 100,
};

class GuardFixture {
	readonly timers = new ManualTimerService();
	readonly ended = new Set<string>();
	readonly checked: string[] = [];
	readonly reported: CrashReport[] = [];
	readonly cleared: string[] = [];
	readonly published: Array<[string, number]> = [];
	readonly quarantined: string[] = [];
	/** Whether servers may be queried. */
	mayCheck = true;
	readonly guard: CrashGuard;
	private serverCount = 0;

	constructor() {
		this.guard = new CrashGuard({
			lostAttempts: new LostAttempts(timings.confirmationTimeout),
			analysis: new CrashAnalysis({
				minCrashes: 3, clearedMemory: 60_000, crashMemory: 600_000, maxClearedParts: 100, maxClearedRequests: 100, maxCrashes: 100, maxSuspects: 100, maxCauses: 100,
			}),
			quarantine: new Quarantine(100),
			reports: {
				reportCrash: report => {
					this.reported.push(report);
				},
				reportCleared: parts => {
					this.cleared.push(...parts);
				},
				publish: (part, expiresAt) => {
					this.published.push([part, expiresAt]);
				},
			},
			timers: this.timers,
			metrics: new Metrics(),
			log: new RecordingLog(this.timers),
			hasEnded: server => this.ended.has(getIncarnationId(server)),
			checkServer: ({id}) => {
				this.checked.push(id);
				return this.mayCheck;
			},
			onQuarantine: part => {
				this.quarantined.push(part);
			},
		}, timings);
		this.guard.start();
	}

	/** Loses an attempt with the parts on a new server. */
	lose(parts: readonly string[]): BackendServer {
		const server = sampleServer(`s${++this.serverCount}`, 'large');
		const sentAt = this.timers.now();
		this.timers.advance(100);
		this.guard.recordLoss(server, parts, sentAt);
		return server;
	}

	/** Lets an attempt with the parts crash a new server. */
	crash(parts: readonly string[]): void {
		this.ended.add(getIncarnationId(this.lose(parts)));
		this.timers.advance(200);
	}
}

// Guards against requests on one bad prompt part that crash the servers one after the other for as long as such requests come.
test('after three crashes requests with the part are refused as not run, requests that share its other parts are not', t => {
	const fixture = new GuardFixture();
	fixture.guard.recordProgress(['shared', 'good']);
	for (let crashes = 0; crashes < 3; crashes++) {
		t.notThrows(() => {
			fixture.guard.check(['shared', 'bad']);
		});
		fixture.crash(['shared', 'bad']);
	}

	t.deepEqual(fixture.quarantined, ['bad']);
	t.is(fixture.published[0][0], 'bad');
	t.is(fixture.reported.length, 3);
	t.deepEqual(fixture.reported[0].suspects.map(({part}) => part), ['bad']);
	const failure = t.throws(() => {
		fixture.guard.check(['shared', 'bad']);
	}, {instanceOf: Failure});
	t.is(failure.code, ResultCode.RequestQuarantined);
	t.is(failure.execution, Execution.NotRun);
	t.true(failure.retryAfterSeconds! > 590 && failure.retryAfterSeconds! <= 600);
	t.notThrows(() => {
		fixture.guard.check(['shared', 'good']);
	});
});

// Guards against a quarantine of parts whose requests only lost their connections.
test('lost attempts do not count unless their servers have ended', t => {
	const fixture = new GuardFixture();
	for (let losses = 0; losses < 10; losses++) {
		fixture.lose(['bad']);
		fixture.timers.advance(200);
	}

	t.is(fixture.checked.length, 10, 'each server is queried');
	t.deepEqual(fixture.quarantined, []);
	t.deepEqual(fixture.reported, []);
});

// Guards against servers that crash again because an instance waits for crashes of its own.
test('crashes that other instances report count, and parts that work here are cleared', t => {
	const fixture = new GuardFixture();
	fixture.guard.recordProgress(['shared']);
	for (let crashes = 0; crashes < 3; crashes++) {
		fixture.timers.advance(1000);
		const now = fixture.timers.now();
		const suspects = ['shared', 'bad'].map(part => ({part, sentAt: now - 50}));
		fixture.guard.receiveReport({incarnationId: `other-${crashes}`, crashedAt: now, suspects});
	}

	t.deepEqual(fixture.quarantined, ['bad']);
	t.deepEqual(fixture.cleared, ['shared', 'shared', 'shared']);
	t.notThrows(() => {
		fixture.guard.check(['shared']);
	});
});

// Guards against a part that crashes servers again after each restart of an instance.
test('a quarantine from the store is in force at once, is not stored again, and ends', t => {
	const fixture = new GuardFixture();
	fixture.guard.receiveQuarantine('bad', fixture.timers.wallClock() + 5000, QuarantineOrigin.Store);
	t.deepEqual(fixture.quarantined, ['bad']);
	t.deepEqual(fixture.published, []);
	t.throws(() => {
		fixture.guard.check(['bad']);
	});
	fixture.timers.advance(5100);
	t.notThrows(() => {
		fixture.guard.check(['bad']);
	});
});

// Guards against a part that can never be used again after its servers were repaired.
test('a part whose quarantine ended is found again only by new crashes', t => {
	const fixture = new GuardFixture();
	for (let crashes = 0; crashes < 3; crashes++) {
		fixture.crash(['bad']);
	}

	fixture.timers.advance(quarantineMs);
	fixture.crash(['bad']);
	fixture.crash(['bad']);
	t.deepEqual(fixture.quarantined, ['bad']);
	fixture.crash(['bad']);
	t.deepEqual(fixture.quarantined, ['bad', 'bad']);
});

// Guards against a crash that is never confirmed because its server was queried shortly before.
test('a server that must not be queried yet is queried later, and once', t => {
	const fixture = new GuardFixture();
	fixture.mayCheck = false;
	const {id} = fixture.lose(['bad']);
	fixture.timers.advance(250);
	fixture.mayCheck = true;
	fixture.timers.advance(1000);
	t.deepEqual(fixture.checked, [id, id, id, id]);
});

// Guards against one request that ends one server after the other, at whatever instance it arrives.
test('a request that crashed three servers is refused as not run, and becomes a suspect with the first crash', t => {
	const fixture = new GuardFixture();
	const deadly = 'request:deadly';
	t.false(fixture.guard.isSuspectedRequest(deadly));
	for (let crashes = 0; crashes < 3; crashes++) {
		fixture.crash([deadly]);
		t.true(fixture.guard.isSuspectedRequest(deadly));
	}

	t.deepEqual(fixture.quarantined, [deadly]);
	const failure = t.throws(() => {
		fixture.guard.check([deadly]);
	}, {instanceOf: Failure});
	t.is(failure.execution, Execution.NotRun);
	t.notThrows(() => {
		fixture.guard.check(['request:other']);
	});
});
