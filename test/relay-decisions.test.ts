import test from 'ava';
import fc from 'fast-check';
import {RetryBudget} from '../src/admission/retry-budget.js';
import {RetryUrgency} from '../src/admission/retry-urgency.js';
import {Lease} from '../src/leases/lease.js';
import {PeerLoads} from '../src/peers/peer-loads.js';
import {getIdDigest, getServerDigest} from '../src/peers/id-digest.js';
import {packedTokensUnit} from '../src/peers/load-report.js';
import {packCounts, unpackCounts} from '../src/peers/packed-counts.js';
import {SuspicionQuorum} from '../src/peers/suspicion-quorum.js';
import {type BackendServer} from '../src/pipelines/backend-server.js';
import {EventSplitter} from '../src/relay/streams/event-splitter.js';
import {ExecutionHistory} from '../src/relay/execution-history.js';
import {PassedEvents} from '../src/relay/streams/passed-events.js';
import {RequestQueue} from '../src/relay/request-queue.js';
import {StartOutcome} from '../src/relay/start-outcome.js';
import {StreamProgress} from '../src/relay/streams/stream-progress.js';
import {StreamResponse} from '../src/relay/streams/stream-response.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {sampleResponseHead} from './support/exchange-fixture.js';
import {sampleServer} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

const encoder = new TextEncoder();

function formatEvent(id: number): string {
	return `id: ${id}\ndata: token ${id}\n\n`;
}

function splitAt(bytes: Uint8Array, offsets: readonly number[]): readonly Uint8Array[] {
	const ends = [...new Set(offsets.map(offset => offset % (bytes.length + 1)))].toSorted((left, right) => left - right);
	return [0, ...ends].map((start, index) => bytes.subarray(start, ends[index] ?? bytes.length));
}

test('a stream is split into the same events whatever the chunk boundaries', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 20}), fc.array(fc.nat(2000), {maxLength: 30}), (count, offsets) => {
		const bytes = encoder.encode(Array.from({length: count}, (_, index) => formatEvent(index + 1)).join(''));
		const splitter = new EventSplitter();
		const events = splitAt(bytes, offsets).flatMap(chunk => [...splitter.push(chunk)]);
		t.deepEqual(events.map(({id}) => id), Array.from({length: count}, (_, index) => index + 1));
		t.false(splitter.hasIncompleteEvent);
	}), {seed: seed()});
});

test('a stream whose server fails within an event resumes without a missing or duplicate event', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 30}), fc.array(fc.nat(2000), {minLength: 1, maxLength: 4}), (count, failureOffsets) => {
		const progress = new StreamProgress(0, undefined);
		const delivered: number[] = [];
		for (const offset of [...failureOffsets, Number.POSITIVE_INFINITY]) {
			const response = new StreamResponse(progress.passed);
			response.head = sampleResponseHead;
			const first = (progress.lastEventId ?? 0) + 1;
			const rest = encoder.encode(Array.from({length: Math.max(0, count - first + 1)}, (_, index) => formatEvent(first + index)).join(''));
			for (const event of response.receive(rest.subarray(0, offset), 1).events) {
				progress.recordDelivery(1);
				delivered.push(event.id!);
			}
		}

		t.deepEqual(delivered, Array.from({length: count}, (_, index) => index + 1));
	}), {seed: seed()});
});

test('an event that the caller has already received is not forwarded again', t => {
	const response = new StreamResponse(new PassedEvents(3));
	response.head = sampleResponseHead;
	t.deepEqual(response.receive(encoder.encode(formatEvent(2) + formatEvent(3) + formatEvent(4)), 1).events.map(({id}) => id), [4]);
});

test('the queue starts urgent requests first, then those that can still be on time, then the others', t => {
	const timers = new ManualTimerService();
	const queue = new RequestQueue(timers, {capacity: 10, dispatchInterval: 40});
	const started: string[] = [];
	let hasCapacity = false;
	const enqueue = (name: string, priority: number, onTimeDeadline: number) => queue.enqueue({
		priority,
		arrivedAt: 0,
		tokens: 100,
		onTimeDeadline,
		queueDeadline: 1000,
		tryStart() {
			if (!hasCapacity) {
				return StartOutcome.NoCapacity;
			}

			started.push(name);
			return StartOutcome.Started;
		},
		reserve: () => ({cancel: () => undefined}),
		onTimeout() {
			started.push(`${name} timed out`);
		},
	});
	enqueue('late', 1, 100);
	enqueue('on time', 1, 900);
	enqueue('urgent', 0, 50);
	timers.advance(400);
	hasCapacity = true;
	timers.advance(40);
	t.deepEqual(started, ['urgent', 'on time', 'late']);
});

// Guards against a large request that waits for good because smaller ones that arrived later start first.
test('the first request that finds no capacity reserves it, smaller ones start after it, and one that lacks a retry keeps nobody waiting', t => {
	const queue = new RequestQueue(new ManualTimerService(), {capacity: 10, dispatchInterval: 40});
	let free = 100;
	let reserved = 0;
	const started: string[] = [];
	const enqueue = (name: string, tokens: number, {arrivedAt = 0, mayStart = true} = {}) => queue.enqueue({
		priority: 1,
		arrivedAt,
		tokens,
		onTimeDeadline: 0,
		queueDeadline: 1000,
		tryStart() {
			if (tokens > free - reserved) {
				return StartOutcome.NoCapacity;
			}

			if (!mayStart) {
				return StartOutcome.NoRetry;
			}

			started.push(name);
			free -= tokens;
			return StartOutcome.Started;
		},
		reserve() {
			reserved += tokens;
			return {
				cancel() {
					reserved -= tokens;
				},
			};
		},
		onTimeout: () => undefined,
	});
	enqueue('without a retry', 50, {arrivedAt: 0, mayStart: false});
	enqueue('large', 500, {arrivedAt: 1});
	enqueue('small', 60, {arrivedAt: 3});
	queue.dispatchReady();
	t.deepEqual(started, []);
	t.is(reserved, 500);
	t.true(queue.hasWaiting(1));
	t.false(queue.hasWaiting(0), 'a more urgent request does not wait');
	free = 450;
	queue.dispatchReady();
	t.deepEqual(started, [], 'the reservation holds');
	enqueue('resumed', 60, {arrivedAt: 2});
	free = 610;
	queue.dispatchReady();
	t.deepEqual(started, ['large', 'resumed']);
	t.is(reserved, 60);
	free = 120;
	queue.dispatchReady();
	t.deepEqual(started, ['large', 'resumed', 'small']);
	t.is(reserved, 0);
});

test('a queued request times out at its queue deadline, and a full queue accepts no more', t => {
	const timers = new ManualTimerService();
	const queue = new RequestQueue(timers, {capacity: 1, dispatchInterval: 40});
	let timedOutAt = 0;
	const request = {
		priority: 1,
		arrivedAt: 0,
		tokens: 100,
		onTimeDeadline: 0,
		queueDeadline: 1000,
		tryStart: () => StartOutcome.NoCapacity,
		reserve: () => ({cancel: () => undefined}),
		onTimeout() {
			timedOutAt = timers.now();
		},
	};
	t.truthy(queue.enqueue(request));
	t.is(queue.enqueue(request), undefined);
	timers.advance(2000);
	t.is(timedOutAt, 1000);
	t.is(queue.size, 0);
});

test('a request is executed on no more live servers than its route allows, however often stages fail', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 3}), fc.array(fc.tuple(fc.nat(5), fc.boolean()), {maxLength: 12}), (maxServers, attempts) => {
		const dead = new Set<string>();
		const executions = new ExecutionHistory(maxServers, ({id}) => !dead.has(id));
		const executedOn = new Set<string>();
		for (const [index, isFailing] of attempts) {
			const server = sampleServer(`s${index}`, 'large');
			const {allowedIncarnations} = executions;
			if (dead.has(server.id) || (allowedIncarnations && !allowedIncarnations.has(`${server.id}@1`))) {
				continue;
			}

			executions.recordStart(server);
			executedOn.add(server.id);
			if (isFailing) {
				dead.add(server.id);
			}

			t.true([...executedOn].filter(id => !dead.has(id)).length <= maxServers);
		}
	}), {seed: seed()});
});

test('an attempt that was not executed does not count', t => {
	const executions = new ExecutionHistory(1, () => true);
	const server = sampleServer('s', 'large');
	executions.recordStart(server);
	executions.revertStart(server);
	t.false(executions.mayHaveExecuted);
	t.true(executions.allowsNewServer);
});

test('the retries of all instances stay within the total allowance while instances are being added', t => {
	const now = 1000;
	const budgets = Array.from({length: 4}, () => new RetryBudget(0.2, 100 / (2 * 2), 10_000));
	const acquired = budgets.reduce((sum, budget) => sum + Array.from({length: 200}, () => budget.tryAcquire(now, RetryUrgency.Begun)).filter(Boolean).length, 0);
	t.true(acquired <= 100, `${acquired} of 100, though each instance assumes two instances`);
});

test('one instance that is cut off does not make the others suspect its servers, but a stage that waits for a server does', t => {
	const quorum = new SuspicionQuorum(2000, 2);
	t.false(quorum.report({incarnationId: 's@1', isBlocking: false, from: 'a'}, 0));
	t.false(quorum.report({incarnationId: 's@1', isBlocking: false, from: 'a'}, 100), 'the same instance again');
	t.true(quorum.report({incarnationId: 's@1', isBlocking: false, from: 'b'}, 200));
	t.true(quorum.report({incarnationId: 'other@1', isBlocking: true, from: 'a'}, 0));
	t.false(quorum.report({incarnationId: 's@1', isBlocking: false, from: 'c'}, 9000), 'expired reports do not count');
});

const loadLimits = {
	maxLoadAge: 2000, expiry: 2000, expiryCheckInterval: 0, maxCharacters: 700,
};

function packTokens(server: BackendServer, count: number): string {
	return packCounts([[getServerDigest(server), count]], packedTokensUnit);
}

test('the load of an instance that stopped reporting expires', t => {
	const loads = new PeerLoads({id: 'self', availabilityZone: 'zone-a'}, loadLimits);
	const server = sampleServer('s', 'large');
	loads.update([{instance: getIdDigest('a'), age: 0, tokens: packTokens(server, 500)}], 0);
	loads.update([{instance: getIdDigest('b'), age: 0, tokens: packTokens(server, 700)}], 1500);
	t.is(loads.getTokens(server, 1600), 1200);
	t.is(loads.getTokens(server, 2500), 700);
	t.deepEqual(loads.getReportingInstances(2500), [getIdDigest('b')]);
});

test('other zones are known by their sums, and an older report does not replace a newer one', t => {
	const server = sampleServer('s', 'large');
	const sender = new PeerLoads({id: 'a', availabilityZone: 'zone-a'}, loadLimits);
	sender.update([{instance: getIdDigest('b'), age: 0, tokens: packTokens(server, 200)}], 0);
	const report = sender.createOwnReport(new Map([[getServerDigest(server), 100]]), 'zone-b', 0);
	t.is(report.instance, undefined);
	const receiver = new PeerLoads({id: 'c', availabilityZone: 'zone-b'}, loadLimits);
	receiver.update([report], 0);
	t.is(receiver.getTokens(server, 0), 300);
	receiver.update([{...report, age: 500, tokens: packTokens(server, 9000)}], 200);
	t.is(receiver.getTokens(server, 200), 300);
	t.deepEqual(receiver.selectReports('zone-b', receiver.packAges('zone-b', 200), 200), [], 'nothing that the recipient has');
});

test('packed counts: each is recovered to its unit, and a malformed text yields no wrong digest', t => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.string({minLength: 1}), fc.nat(80_000)), {maxLength: 50}), counts => {
		const byDigest = new Map(counts.map(([id, count]) => [getIdDigest(id), count]));
		const unpacked = unpackCounts(packCounts(byDigest, packedTokensUnit), packedTokensUnit);
		t.is(unpacked.size, byDigest.size);
		for (const [digest, count] of byDigest) {
			t.true(Math.abs(unpacked.get(digest)! - count) <= packedTokensUnit / 2);
		}
	}), {seed: seed()});
	t.deepEqual([...unpackCounts('abcdAB~', 1)], [['abcd', 1]]);
	t.deepEqual([...unpackCounts('abcd!!', 1)], [['abcd', 0]]);
});

test('after a full restart the lease is acquired at once if the clock of the table shows that it expired', t => {
	const lease = new Lease('new', 2500);
	const record = {holder: 'old', fencing: 4, renewedAt: 1000};
	t.is(lease.prepareRecord({record, version: 7, tableNow: 3000}, 0), undefined);
	t.deepEqual(lease.prepareRecord({record, version: 7, tableNow: 3500}, 500), {holder: 'new', fencing: 5, renewedAt: 3500});
	const released = new Lease('other', 2500);
	t.truthy(released.prepareRecord({record: {...record, renewedAt: 0}, version: 8, tableNow: 3000}, 0), 'released by its holder');
});

test('the last holder continues while the table is unavailable, until it sees another holder', t => {
	const lease = new Lease('self', 2500);
	t.false(lease.mayAct(0));
	lease.confirmWrite({holder: 'self', fencing: 1}, 3, 0);
	t.false(lease.isHeld(4000));
	t.true(lease.mayAct(4000));
	lease.prepareRecord({record: {holder: 'other', fencing: 2}, version: 9}, 5000);
	t.false(lease.mayAct(5000));
});

test('a holder whose requests the table refuses stops when it learns of its successor', t => {
	const lease = new Lease('self', 2500);
	lease.confirmWrite({holder: 'self', fencing: 3}, 3, 0);
	lease.observeOtherHolder(2);
	t.true(lease.isHeld(100), 'an earlier holder that was suspended');
	t.true(lease.mayAct(9000), 'the table is unavailable');
	lease.observeOtherHolder(4);
	t.false(lease.mayAct(9000));
});

test('a row that the table lost or replaced by an older one does not lower the fencing number', t => {
	const lease = new Lease('self', 2500);
	lease.confirmWrite({holder: 'self', fencing: 5}, 3, 0);
	t.is(lease.prepareRecord({version: 0, tableNow: 9000}, 100)?.fencing, 6, 'the row is lost');
	const contender = new Lease('contender', 2500);
	contender.observeOtherHolder(7);
	const older = {holder: 'earlier', fencing: 2, renewedAt: 0};
	t.is(contender.prepareRecord({record: older, version: 1, tableNow: 9000}, 100)?.fencing, 8, 'an earlier holder is back');
});
