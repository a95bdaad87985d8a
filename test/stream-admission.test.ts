import test from 'ava';
import {DrainRate} from '../src/admission/drain-rate.js';
import {FullRejections} from '../src/admission/full-rejections.js';
import {PriorityReserves} from '../src/admission/priority-reserves.js';
import {ReturnTimes} from '../src/admission/return-times.js';
import {type StreamAdmission} from '../src/admission/stream-admission.js';
import {ZoneWaiting} from '../src/admission/zone-waiting.js';
import {getIdDigest} from '../src/peers/id-digest.js';
import {WaitingExchange} from '../src/peers/waiting-exchange.js';
import {StartOutcome} from '../src/relay/start-outcome.js';
import {computeStreamDeadlines} from '../src/relay/streams/stream-deadlines.js';
import {StreamProgress} from '../src/relay/streams/stream-progress.js';
import {StreamExchangeFixture, sampleResponseHead, sampleStreamRoute} from './support/exchange-fixture.js';
import {sampleServer} from './support/sample-fleet.js';

const range = {from: 0, to: 80};
const pipeline = [{server: sampleServer('first', 'large', range), range}];
const service = 'model';

function createAdmission(requests = 300): StreamAdmission {
	return {
		reserves: new PriorityReserves({countInstances: () => 10, countRequests: () => requests}, 0.25),
		zone: new ZoneWaiting(2000, name => name),
		rejections: new FullRejections(),
		returnTimes: new ReturnTimes(1000, {nextFraction: () => 0.5}),
	};
}

// Guards against retries that are spent on one full stage after another while a burst fills all of them.
test('a retry waits without spending the retry budget while full stages reject most attempts, but not for long', t => {
	const fixture = new StreamExchangeFixture(sampleStreamRoute, {admission: createAdmission()});
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.admission!.rejections.recordSent(service, 0);
	fixture.admission!.rejections.recordRejected(service, 0);
	const available = fixture.retryBudget.countAvailable(0);
	fixture.latest.onHead({...sampleResponseHead, status: 503, isNotExecuted: true});
	fixture.latest.onEnd();
	t.is(fixture.sent.length, 1);
	t.is(fixture.retryBudget.countAvailable(0), available);
	fixture.timers.advance(340);
	t.is(fixture.sent.length, 2);
	t.is(fixture.retryBudget.countAvailable(fixture.timers.now()), available - 1);
});

// Guards against a fleet that serves single rejections later than before.
test('a retry after a single rejection is sent at once', t => {
	const fixture = new StreamExchangeFixture(sampleStreamRoute, {admission: createAdmission()});
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.latest.onHead({...sampleResponseHead, status: 503, isNotExecuted: true});
	fixture.latest.onEnd();
	t.is(fixture.sent.length, 2);
});

// Guards against callers that leave while their request still waits, and against one wait for all routes.
test('a request waits as long as its own caller does, less the time for a first event, and no longer than the setting', t => {
	const fixture = new StreamExchangeFixture();
	const compute = (callerIdleTimeout: number, latencyTarget: number, maxQueueTime: number) => {
		const request = {
			...fixture.exchange.request, arrivedAt: 100, deadline: 20_100, route: {...sampleStreamRoute, callerIdleTimeout, latencyTarget},
		};
		return computeStreamDeadlines(request, new StreamProgress(100, undefined), false, {
			maxRejections: 6, lateRejectionThreshold: 1000, onTimeFraction: 0.75, maxQueueTime, resumeWaitFraction: 0.9, retryAfter: 1000,
		}).queueDeadline;
	};

	t.deepEqual([compute(2000, 500, 4000), compute(4000, 1000, 4000), compute(4000, 1000, 1100), compute(2000, 5000, 4000)], [1600, 3100, 1200, 1100]);
});

// Guards against requests that wait in vain behind more than can start in time.
test('a request that cannot start in time is refused at once, and those that may have been executed wait', t => {
	const {timers, requestQueue} = new StreamExchangeFixture();
	let free = 0;
	const refused: string[] = [];
	const enqueue = (name: string, isRefusable = true) => requestQueue.enqueue({
		priority: 0,
		arrivedAt: timers.now(),
		tokens: 100,
		onTimeDeadline: 0,
		queueDeadline: timers.now() + 1000,
		onTimeout: () => undefined,
		tryStart: () => free-- > 0 ? StartOutcome.Started : StartOutcome.NoCapacity,
		...(isRefusable && {
			onHopeless() {
				refused.push(name);
			},
		}),
	});
	enqueue('resumed', false);
	for (let index = 0; index < 4; index++) {
		enqueue(`early ${index}`);
		timers.advance(200);
		free = 1;
		timers.advance(40);
	}

	t.deepEqual(refused, []);
	for (let index = 0; index < 8; index++) {
		free = 0;
		enqueue(`burst ${index}`, index !== 7);
		requestQueue.dispatchReady();
	}

	t.true(refused.length > 0 && refused.every(name => name.startsWith('burst')));
	t.false(refused.includes('burst 0'), 'the first ones start in time');
	t.false(refused.includes('burst 7'), 'it may have been executed');
});

test('the rate of starts is known only after some starts while requests waited', t => {
	const rate = new DrainRate();
	rate.recordStart(100, 0);
	t.is(rate.predictWait(100, 1000), undefined);
	rate.setWaiting(true, 1000);
	for (const time of [1100, 1200, 1300, 1400, 1500]) {
		rate.recordStart(100, time);
	}

	const wait = rate.predictWait(300, 1500)!;
	t.true(wait > 200 && wait < 400);
});

// Guards against refused callers that all return at once, late, or when their time is over.
test('refused callers return when there is capacity, the urgent first, and within a third of the time that they have left', t => {
	let fraction = 0;
	const returnTimes = new ReturnTimes(1000, {nextFraction: () => fraction});
	t.is(returnTimes.compute({wait: undefined, rank: 0, remaining: 20_000}), 1000);
	t.is(returnTimes.compute({wait: 10, rank: 0, remaining: 20_000}), 200);
	fraction = 0.99;
	const urgent = returnTimes.compute({wait: 600, rank: 0, remaining: 20_000});
	fraction = 0;
	t.true(urgent > 800 && urgent < returnTimes.compute({wait: 600, rank: 1, remaining: 20_000}));
	t.is(returnTimes.compute({wait: 60_000, rank: 0, remaining: 300}), 100);
});

// Guards against less urgent requests that fill the servers before urgent ones arrive, and against capacity that is kept for nobody.
test('the reserve follows the square root of the urgent load, is bounded, and ends with the urgent requests', t => {
	const {reserves} = createAdmission(300);
	for (let now = 0; now <= 10_000; now += 500) {
		reserves.recordArrival(service, 1, now);
		reserves.recordEnd(service, 1, 4000);
	}

	t.is(reserves.getOccupancyLimit(service, 1, 10_000), 1, 'only one priority');
	for (let now = 10_500; now <= 40_000; now += 500) {
		reserves.recordArrival(service, 0, now);
		reserves.recordArrival(service, 1, now);
		reserves.recordEnd(service, 0, 4000);
	}

	const load = reserves.getOfferedLoad(service, 1, 40_000);
	t.true(load > 60 && load < 100, '10 instances with 2 requests a second for 4 s');
	t.is(reserves.getOccupancyLimit(service, 0, 40_000), 1);
	t.is(reserves.getOccupancyLimit(service, 1, 40_000), 1 - (Math.sqrt(load) / 300));
	t.is(reserves.getOccupancyLimit(service, 1, 120_000), 1, 'no urgent requests any more');
	const small = new PriorityReserves({countInstances: () => 10, countRequests: () => 4}, 0.25);
	small.recordArrival(service, 0, 0);
	small.recordEnd(service, 0, 4000);
	t.is(small.getOccupancyLimit(service, 1, 0), 0.75);
});

// Guards against a stream that is cut because the reserve keeps it from going on.
test('a less urgent request leaves the reserve to others, and one that has begun does not', t => {
	const admission = createAdmission(4);
	admission.reserves.recordArrival(service, 0, 0);
	admission.reserves.recordEnd(service, 0, 4000);
	const fixture = new StreamExchangeFixture(sampleStreamRoute, {admission});
	fixture.pipeline = pipeline;
	fixture.start();
	t.is(fixture.pipelineRequests.at(-1)!.occupancyLimit, 0.75);
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onData(new TextEncoder().encode('id: 1\ndata: one\n\n'));
	fixture.exchange.hedge(undefined, 'no event');
	t.is(fixture.pipelineRequests.at(-1)!.occupancyLimit, undefined);
});

/** Queues requests of which each dispatch starts one, and returns the names in the order of their starts. */
function startInTurn(waiting: ReadonlyArray<{name: string; priority: number; workspace?: string}>): readonly string[] {
	const {timers, requestQueue} = new StreamExchangeFixture(sampleStreamRoute);
	const started: string[] = [];
	const capacity = {free: 0};
	for (const {name, ...fields} of waiting.slice(0, 10)) {
		requestQueue.enqueue({
			...fields,
			arrivedAt: timers.now(),
			tokens: 100,
			onTimeDeadline: 0,
			queueDeadline: 60_000,
			onTimeout: () => undefined,
			tryStart() {
				if (capacity.free <= 0) {
					return StartOutcome.NoAllowedCapacity;
				}

				capacity.free--;
				started.push(name);
				return StartOutcome.Started;
			},
		});
	}

	while (requestQueue.size > 0) {
		capacity.free = 1;
		requestQueue.dispatchReady();
	}

	return started;
}

// Guards against a workspace that waits until a busier one has none left.
test('workspaces of one priority start in turn', t => {
	const busy = Array.from({length: 6}, (_, index) => ({name: `busy ${index}`, priority: 0, workspace: 'busy'}));
	const started = startInTurn([...busy, {name: 'other', priority: 0, workspace: 'other'}]);
	t.true(started.indexOf('other') <= 1);
});

// Guards against a priority that never starts while more urgent requests keep arriving.
test('one start in ten goes to the oldest less urgent request', t => {
	const {timers, requestQueue} = new StreamExchangeFixture();
	const starts: Array<number | undefined> = [];
	requestQueue.enqueue({
		priority: 2, arrivedAt: 0, tokens: 100, onTimeDeadline: 0, queueDeadline: 60_000, onTimeout: () => undefined,
		tryStart(isEntitled) {
			starts.push(isEntitled ? 2 : undefined);
			return isEntitled ? StartOutcome.Started : StartOutcome.UrgentElsewhere;
		},
		isMoreUrgentElsewhere: () => true,
	});
	for (let index = 0; index < 9; index++) {
		t.false(starts.includes(2));
		starts.push(0);
		requestQueue.recordStart({priority: 0, tokens: 100});
		timers.advance(40);
	}

	t.deepEqual(starts.filter(priority => priority !== undefined), [0, 0, 0, 0, 0, 0, 0, 0, 0, 2]);
});

// Guards against requests that yield to a queue that was read long ago, and against a message of an earlier build that is not understood.
test('what waits elsewhere counts until its report is too old, and a newer report replaces it', t => {
	const zone = new ZoneWaiting(2000, getIdDigest);
	const exchange = new WaitingExchange({id: 'one', availabilityZone: 'a'}, zone, () => []);
	const work = [{
		service, priority: 0, requests: 3, tokens: 2700,
	}];
	const other = new WaitingExchange({id: 'two', availabilityZone: 'a'}, new ZoneWaiting(2000, getIdDigest), () => work);
	const from = {id: 'two', availabilityZone: 'a', peers: ''};
	exchange.receive({from}, 0);
	exchange.receive({from, ...other.getCurrent('a', 0)}, 0);
	t.like(zone.findMoreUrgent(service, 1, 500), {requests: 3, tokens: 2700});
	t.is(zone.findMoreUrgent(service, 0, 500), undefined);
	t.deepEqual(other.getCurrent('b', 500), {}, 'other zones are not told');
	t.is(zone.findMoreUrgent(service, 1, 2100), undefined, 'too old');
	exchange.receive({from, ...other.getCurrent('a', 2100)}, 2100);
	t.is(exchange.getCurrent('a', 2200).waiting?.length, 1, 'it is passed on');
	work.length = 0;
	exchange.receive({from, ...other.getCurrent('a', 2500)}, 2500);
	t.is(zone.findMoreUrgent(service, 1, 2500), undefined);
});
