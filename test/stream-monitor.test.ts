import test from 'ava';
import {Metrics} from '../src/observation/metrics.js';
import {type BackendServer} from '../src/pipelines/backend-server.js';
import {ServerDirectory} from '../src/pipelines/server-directory.js';
import {ServerHealthTracker} from '../src/pipelines/server-health-tracker.js';
import {SuspicionCause} from '../src/pipelines/suspicion-cause.js';
import {Health, StageReporter, type StageReport} from '../src/pipelines/stage-reporter.js';
import {type ExchangeRegistry} from '../src/relay/exchange-registry.js';
import {StreamMonitor} from '../src/relay/streams/stream-monitor.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {sampleBackpressure} from './support/sample-backpressure.js';
import {RecordingLog, sampleServer} from './support/sample-fleet.js';

class FakeReporter extends StageReporter {
	queryCount = 0;

	constructor(private readonly report: () => StageReport, private readonly health: () => Health) {
		super();
	}

	async fetchReport(): Promise<StageReport> {
		this.queryCount++;
		return this.report();
	}

	async checkHealth(): Promise<Health> {
		this.queryCount++;
		return this.health();
	}
}

class FakeStream {
	/** Ids of the stages for which the stream was hedged; undefined for an unknown cause. */
	hedges: Array<string | undefined> = [];

	/**
	@param isKept - whether there is no other pipeline
	*/
	constructor(private readonly servers: readonly BackendServer[], public silence: number, private readonly isKept = false) {}

	get stages() {
		return this.hedges.length > 0 && !this.isKept ? undefined : this.servers.map(server => ({server, range: server.range!}));
	}

	computeSilence(): number {
		return this.silence;
	}

	hedge(server: BackendServer | undefined): void {
		this.hedges.push(server?.id);
	}
}

function createMonitor(reporter: StageReporter, streams: readonly FakeStream[]) {
	const timers = new ManualTimerService();
	const servers = [sampleServer('first', 'large', {from: 0, to: 40}), sampleServer('second', 'large', {from: 40, to: 80}, {address: '10.0.0.2:1'})];
	const directory = new ServerDirectory(timers, new RecordingLog());
	directory.applyReading({servers, requestedAt: 0, mayBeIncomplete: false});
	const serverHealth = new ServerHealthTracker({
		suspicion: 2000, maxSuspicion: 8000, saturationBackoff: 250, trialPause: 700,
	}, new RecordingLog());
	const reported: string[] = [];
	const monitor = new StreamMonitor({
		exchanges: {streams: new Set(streams)} as unknown as ExchangeRegistry, // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		reporter,
		serverHealth,
		backpressure: sampleBackpressure(),
		slowdownPoller: {pollStages: () => undefined},
		directory,
		timers,
		metrics: new Metrics(),
		log: new RecordingLog(),
		getHealthPath: () => '/healthz',
		isPathBroken: () => false,
		isPathSilent: () => false,
		checkPath: async () => false,
		onSuspicion({id}) {
			reported.push(id);
		},
	}, {
		checkInterval: 100,
		rejectionThreshold: 4,
		healthCheckInterval: 1500,
		slownessThreshold: 250,
		blockedQueryThreshold: 330,
		silenceTimeout: 1300,
		blockedQueryInterval: 300,
	});
	return {
		monitor, timers, serverHealth, directory, reported,
	};
}

const idleReport: StageReport = {
	slowdownFactor: 1, acceptedOrders: 1, isBusy: false, blockedRequests: new Map(),
};

async function settle(): Promise<void> {
	for (let turn = 0; turn < 5; turn++) {
		await Promise.resolve(); // eslint-disable-line no-await-in-loop
	}
}

const servers = [sampleServer('first', 'large', {from: 0, to: 40}), sampleServer('second', 'large', {from: 40, to: 80}, {address: '10.0.0.2:1'})];

test('when the first stage reports a blocking stage, all silent streams through that stage are hedged at once', async t => {
	const silent = new FakeStream(servers, 400);
	const other = new FakeStream(servers, 260);
	const reporter = new FakeReporter(() => ({...idleReport, blockedRequests: new Map([['r1', '10.0.0.2:1']])}), () => Health.Good);
	const {monitor, timers, reported} = createMonitor(reporter, [silent, other]);
	monitor.start();
	timers.advance(100);
	await settle();
	t.deepEqual(silent.hedges, ['second']);
	t.deepEqual(other.hedges, ['second']);
	t.deepEqual(reported, ['second']);
});

test('a silent stream is hedged after the silence timeout even if its stages report no problem', async t => {
	const silent = new FakeStream(servers, 1400);
	const {monitor, timers, reported} = createMonitor(new FakeReporter(() => idleReport, () => Health.Good), [silent]);
	monitor.start();
	timers.advance(100);
	await settle();
	t.deepEqual(silent.hedges, [undefined]);
	t.deepEqual(reported, []);
});

// While the server list can't be read, a leaving server shows only by its rejections.
test('a server that repeatedly rejects requests gets a health check, and is suspected if the check fails', async t => {
	let health = Health.Busy;
	const reporter = new FakeReporter(() => idleReport, () => health);
	const {monitor, timers, serverHealth, directory, reported} = createMonitor(reporter, []);
	const [server] = directory.all();
	monitor.recordRejections(server, 3);
	t.is(reporter.queryCount, 0);
	monitor.recordRejections(server, 4);
	await settle();
	t.deepEqual(reported, [], 'it is out of capacity, not leaving');
	health = Health.Bad;
	monitor.recordRejections(server, 5);
	await settle();
	t.is(reporter.queryCount, 1, 'the next health check is not due yet');
	timers.advance(1500);
	monitor.recordRejections(server, 6);
	await settle();
	t.deepEqual(reported, ['first']);
	t.false(serverHealth.isHealthy(server));
});

// Guards against answers that are moved or cut off although their servers work: another instance may have lost its own path to a server.
test('a stream that receives events is not hedged when one of its stages becomes suspected, only once it falls silent', async t => {
	const working = new FakeStream(servers, 10);
	const silent = new FakeStream(servers, 260);
	const {monitor, timers, serverHealth, directory} = createMonitor(new FakeReporter(() => idleReport, () => Health.Good), [working, silent]);
	const [, second] = directory.all();
	serverHealth.suspect(second, 'entry-b: connection not established', 0, SuspicionCause.Reported);
	monitor.hedgeStreamsThrough(second, 'entry-b: connection not established');
	await settle();
	t.deepEqual(working.hedges, []);
	t.deepEqual(silent.hedges, ['second']);
	working.silence = 250;
	monitor.start();
	timers.advance(100);
	t.deepEqual(working.hedges, ['second'], 'the suspicion still holds when it falls silent');
});

// Guards against a stream that stays on a silent pipeline because no other had capacity when it was first looked for.
test('a silent stream with a suspected stage is offered for hedging again until it moves', async t => {
	const kept = new FakeStream(servers, 260, true);
	const {monitor, timers, serverHealth, directory} = createMonitor(new FakeReporter(() => idleReport, () => Health.Good), [kept]);
	serverHealth.suspect(directory.all()[1], 'entry-b: connection not established', 0, SuspicionCause.Reported);
	monitor.start();
	timers.advance(300);
	await settle();
	t.deepEqual(kept.hedges, ['second', 'second', 'second']);
});

// Guards against a plain server that is asked for a state it does not report, and is suspected because it lost one connection.
test('a plain server that lost an attempt gets a health check, and is suspected only if it refuses connections', async t => {
	const plain = sampleServer('records', '', undefined, {service: 'records'});
	let answer = () => Health.Good;
	const reporter = new FakeReporter(() => {
		throw new Error('the server answered with status 404');
	}, () => answer());
	const {monitor, timers, serverHealth} = createMonitor(reporter, []);
	const failures = [
		() => Health.Good,
		() => Health.Busy,
		() => {
			throw new Error('no response within 350 ms');
		},
	];
	for (const failure of failures) {
		answer = failure;
		t.true(monitor.checkServer(plain));
		t.false(monitor.checkServer(plain), 'not again at once');
		await settle(); // eslint-disable-line no-await-in-loop
		t.false(serverHealth.isSuspected(plain, timers.now()));
		timers.advance(1500);
	}

	answer = () => {
		throw Object.assign(new Error('connect ECONNREFUSED'), {code: 'ECONNREFUSED'});
	};

	t.true(monitor.checkServer(plain));
	await settle();
	t.true(serverHealth.hasEnded(plain));
});

// Guards against a living server that counts as one which a request crashed: only its own report shows that it is still running.
test('a server that is asked after it lost a connection outlives the loss if the report is its own', async t => {
	for (const startedAt of [servers[0].startedAt, servers[0].startedAt + 1, undefined]) {
		const {monitor, timers, serverHealth} = createMonitor(new FakeReporter(() => ({...idleReport, startedAt}), () => Health.Good), []);
		timers.advance(1000);
		t.true(monitor.checkServer(servers[0]));
		await settle(); // eslint-disable-line no-await-in-loop
		t.is(serverHealth.hasOutlived(servers[0], 1000), startedAt === servers[0].startedAt);
		t.false(serverHealth.hasOutlived(servers[0], 1001));
		serverHealth.retain([]);
		t.false(serverHealth.hasOutlived(servers[0], 1000));
	}
});
