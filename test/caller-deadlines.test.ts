import {setImmediate} from 'node:timers/promises';
import {ROOT_CONTEXT} from '@opentelemetry/api';
import {InMemorySpanExporter} from '@opentelemetry/sdk-trace-base';
import test from 'ava';
import {RetryBudget} from '../src/admission/retry-budget.js';
import {readDeadline} from '../src/callers/caller-headers.js';
import {type CompletionRequest} from '../src/completions/completion-request.js';
import {CompletionService, type CompletionServiceDependencies} from '../src/completions/completion-service.js';
import {Invariants} from '../src/observation/invariants.js';
import {Metrics} from '../src/observation/metrics.js';
import {Tracing} from '../src/observation/tracing.js';
import {PlainDispatcher, type PlainDispatcherDependencies} from '../src/plain/plain-dispatcher.js';
import {type PlainRequest} from '../src/plain/plain-request.js';
import {Execution} from '../src/results/execution.js';
import {Failure} from '../src/results/failure.js';
import {ResultCode} from '../src/results/result-code.js';
import {Fleet} from '../src/routing/fleet.js';
import {InstanceRole} from '../src/store/instance-role.js';
import {InstanceState} from '../src/store/instance-state.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {CallerEntry} from './support/caller-entry.js';
import {createRoute} from './support/recovery-fixture.js';
import {silentLog} from './support/silent-log.js';

/** Lies between two ticks of the completion service. */
const deadline = 870;

function createFleet(): Fleet {
	const fleet = new Fleet();
	fleet.update(['a1', 'b1'].map(id => ({
		id, role: InstanceRole.Engine, state: InstanceState.Live, address: id, zone: 'z', service: 's', version: '', firstLayer: 0, endLayer: 2, accelerator: '', tokenRate: 1000,
	})));
	return fleet;
}

/** Starts a completion whose servers are silent, with a given way to reserve its tokens. */
function startCompletion(reserve: () => Promise<unknown>) {
	const timers = new ManualTimerService();
	const fleet = createFleet();
	const failures: ResultCode[] = [];
	const settled: unknown[] = [];
	const service = new CompletionService({ // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		limits: {
			queue: 10, queueTime: 2000, stallTimeout: 10_000, firstTokenTimeout: 10_000, slowTokenGap: 100, maximumStreams: 10,
		},
		runDependencies: {
			engine: {
				run: () => ({close() {}}), // eslint-disable-line @typescript-eslint/no-empty-function
				async cancel() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			},
			fleet, timers, tracing: new Tracing(new InMemorySpanExporter(), 0), metrics: new Metrics(), log: silentLog, inspectionTimeout: 150,
		},
		policy: {selectRoute: () => createRoute(['a1', 'b1'])},
		capacity: {
			computeSlots: () => 10, estimateDuration: () => 10, recordCompletion() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		},
		retryBudget: new RetryBudget(0.2, 100, 10_000),
		meter: {
			reserve,
			settle(reservation: unknown) {
				settled.push(reservation);
			},
		},
		random: {nextFraction: () => 0},
		invariants: new Invariants(),
		log: silentLog,
	} as unknown as CompletionServiceDependencies);
	service.start({ // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		id: 'r', workspace: {name: 'w', share: 10}, service: {name: 's', version: '', layers: 4}, prompt: 'p', promptTokens: 1, maximumTokens: 10, deadline, context: ROOT_CONTEXT,
	} as unknown as CompletionRequest, {
		onTokens() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		onFinish() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		onFail({code}) {
			failures.push(code);
		},
	});
	return {
		service, timers, failures, settled,
	};
}

// Guards against responses that cross the leaving of their callers (own interface).
test('the time that a caller allows ends somewhat before the caller gives up; the longest time allowed is exact (own interface)', t => {
	for (const allowed of [1, 858, 5000]) {
		const time = readDeadline({'x-deadline-ms': String(allowed)}, 100_000);
		t.true(time < allowed && time >= allowed * 0.95 && time >= allowed - 50, `${allowed} ms`);
	}

	t.is(readDeadline({'x-deadline-ms': '60000'}, 5000), 5000);
	t.is(readDeadline({}, 5000), 5000);
});

// Guards against the same crossing by a completion that ended only with the next tick.
test('a silent completion ends at its deadline', async t => {
	const {service, timers, failures} = startCompletion(async () => ({}));
	await setImmediate();
	timers.advance(deadline - 1);
	t.deepEqual(failures, []);
	t.is(service.size, 1);
	timers.advance(1);
	t.deepEqual(failures, [ResultCode.DeadlinePassed]);
	t.is(service.size, 0);
});

// Guards against completions that wait for their tokens beyond their deadline, and are started then.
test('a completion whose tokens are granted after its deadline is refused at its deadline, and the tokens are given back', async t => {
	const timers = new ManualTimerService();
	const grant = {};
	const {service, timers: serviceTimers, failures, settled} = startCompletion(async () => {
		await timers.sleep(deadline * 2);
		return grant;
	});
	serviceTimers.advance(deadline);
	await setImmediate();
	t.deepEqual(failures, [ResultCode.DeadlineUnreachable]);
	timers.advance(deadline * 2);
	await setImmediate();
	t.deepEqual(settled, [grant]);
	t.is(service.size, 0);
	t.is(failures.length, 1);
});

// Guards against retries of a plain call that pause beyond its deadline, so that it is sent and its caller answered after that.
test('a plain call is not sent again after its deadline, and fails at its deadline', async t => {
	const timers = new ManualTimerService();
	let callCount = 0;
	const dispatcher = new PlainDispatcher({ // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		service: {
			async call() {
				callCount++;
				return {execution: Execution.NotRun, reason: 'refused'};
			},
		},
		fleet: createFleet(),
		retryBudget: new RetryBudget(0.2, 100, 10_000),
		tracing: new Tracing(new InMemorySpanExporter(), 0),
		timers,
		random: {nextFraction: () => 0.99},
		callTimeout: 1000,
	} as unknown as PlainDispatcherDependencies);
	const request = { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		id: 'r', operation: {service: 's', name: 'o', isIdempotent: true}, body: '', key: '', deadline: 20,
	} as unknown as PlainRequest;
	let failure: unknown;
	void (async () => {
		try {
			await dispatcher.dispatch(request);
		} catch (error) {
			failure = error;
		}
	})();

	await setImmediate();
	timers.advance(20);
	await setImmediate();
	t.true(failure instanceof Failure);
	t.like(failure, {code: ResultCode.DeadlinePassed, execution: Execution.NotRun});
	timers.advance(100);
	await setImmediate();
	t.is(callCount, 1);
});

const draft = JSON.stringify({model: 'findings', messages: [{role: 'user', content: 'x'}]});
for (const [path, body] of [['services/records/site-history', '{}'], ['chat/completions', draft]] as const) {
	// Guards against requests that are never answered because their body never ends (own interface).
	test(`a request whose body is not complete at its deadline is refused then, as not run: ${path}`, async t => {
		const entry = await CallerEntry.start(t);
		const {status, headers} = await entry.send({
			path,
			body,
			workspace: 'insider',
			allowed: 900,
			async beforeBody() {
				await entry.waitForRequests(1);
				entry.timers.advance(900);
				await new Promise(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function
			},
		});
		t.deepEqual([status, headers['x-execution'], Number(headers['retry-after']) > 0], [503, 'not_run', true]);
		t.is(entry.startedRequests, 0);
	});

	// Guards against requests that are started after their deadline (own interface).
	test(`a request whose body is complete after its deadline, before the timer has ended it, is not started: ${path}`, async t => {
		const entry = await CallerEntry.start(t);
		const {status, headers} = await entry.send({
			path,
			body,
			workspace: 'insider',
			allowed: 900,
			async beforeBody() {
				await entry.waitForRequests(1);
				entry.timers.now = () => 900;
			},
		});
		t.deepEqual([status, headers['x-execution']], [503, 'not_run']);
		t.is(entry.startedRequests, 0);
	});
}
