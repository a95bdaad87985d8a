import test from 'ava';
import fc from 'fast-check';
import {RetryBudget} from '../src/admission/retry-budget.js';
import {Lease} from '../src/leases/lease.js';
import {PeerLoads} from '../src/peers/peer-loads.js';
import {SuspicionQuorum} from '../src/peers/suspicion-quorum.js';
import {EventSplitter} from '../src/relay/event-splitter.js';
import {ExecutionHistory} from '../src/relay/execution-history.js';
import {StreamProgress} from '../src/relay/stream-progress.js';
import {RequestQueue} from '../src/relay/request-queue.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {sampleServer} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

const encoder = new TextEncoder();

function eventText(id: number): string {
	return `id: ${id}\ndata: token ${id}\n\n`;
}

function cut(bytes: Uint8Array, places: readonly number[]): readonly Uint8Array[] {
	const ends = [...new Set(places.map(place => place % (bytes.length + 1)))].toSorted((left, right) => left - right);
	return [0, ...ends].map((start, index) => bytes.subarray(start, ends[index] ?? bytes.length));
}

test('a stream is split into the same events however its bytes arrive', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 20}), fc.array(fc.nat(2000), {maxLength: 30}), (count, places) => {
		const bytes = encoder.encode(Array.from({length: count}, (_, index) => eventText(index + 1)).join(''));
		const splitter = new EventSplitter();
		const events = cut(bytes, places).flatMap(chunk => [...splitter.push(chunk)]);
		t.deepEqual(events.map(({id}) => id), Array.from({length: count}, (_, index) => index + 1));
		t.false(splitter.hasIncompleteEvent);
	}), {seed: seed()});
});

test('a stream whose server dies within an event goes on without a missing or doubled event', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 30}), fc.array(fc.nat(2000), {minLength: 1, maxLength: 4}), (count, deaths) => {
		const progress = new StreamProgress(0, undefined);
		const got: number[] = [];
		for (const death of [...deaths, Number.POSITIVE_INFINITY]) {
			progress.beginAttempt(0);
			const first = (progress.lastEventId ?? 0) + 1;
			const rest = encoder.encode(Array.from({length: Math.max(0, count - first + 1)}, (_, index) => eventText(first + index)).join(''));
			for (const event of progress.receive(rest.subarray(0, death), 1)) {
				progress.recordDelivery(event, 1);
				got.push(event.id!);
			}
		}

		t.deepEqual(got, Array.from({length: count}, (_, index) => index + 1));
	}), {seed: seed()});
});

test('an event that the caller has already is not passed on again', t => {
	const progress = new StreamProgress(0, 3);
	progress.beginAttempt(0);
	t.deepEqual(progress.receive(encoder.encode(eventText(2) + eventText(3) + eventText(4)), 1).map(({id}) => id), [4]);
});

test('under a burst the urgent go first, then who can still be on time, then the others', t => {
	const timers = new ManualTimerService();
	const room = new RequestQueue(timers, {capacity: 10, dispatchInterval: 40});
	const started: string[] = [];
	let isOpen = false;
	const add = (name: string, priority: number, onTimeUntil: number) => room.enqueue({
		priority,
		onTimeDeadline: onTimeUntil,
		queueDeadline: 1000,
		tryStart() {
			if (isOpen) {
				started.push(name);
			}

			return isOpen;
		},
		onTimeout() {
			started.push(`${name} given up`);
		},
	});
	add('late', 1, 100);
	add('on time', 1, 900);
	add('urgent', 0, 50);
	timers.advance(400);
	isOpen = true;
	timers.advance(40);
	t.deepEqual(started, ['urgent', 'on time', 'late']);
});

test('a request that finds no place in time is given up at once, and a full room takes no more', t => {
	const timers = new ManualTimerService();
	const room = new RequestQueue(timers, {capacity: 1, dispatchInterval: 40});
	let givenUpAt = 0;
	const request = {
		priority: 1, onTimeDeadline: 0, queueDeadline: 1000, tryStart: () => false, onTimeout() {
			givenUpAt = timers.now();
		},
	};
	t.truthy(room.enqueue(request));
	t.is(room.enqueue(request), undefined);
	timers.advance(2000);
	t.is(givenUpAt, 1000);
	t.is(room.size, 0);
});

test('a request runs on no more living servers than its route allows, however often stages die', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 3}), fc.array(fc.tuple(fc.nat(5), fc.boolean()), {maxLength: 12}), (most, attempts) => {
		const dead = new Set<string>();
		const runs = new ExecutionHistory(most, ({id}) => !dead.has(id));
		const ran = new Set<string>();
		for (const [index, dies] of attempts) {
			const server = sampleServer(`s${index}`, 'large');
			const {allowedIncarnations: allowed} = runs;
			if (dead.has(server.id) || (allowed && !allowed.has(`${server.id}@1`))) {
				continue;
			}

			runs.recordStart(server);
			ran.add(server.id);
			if (dies) {
				dead.add(server.id);
			}

			t.true([...ran].filter(id => !dead.has(id)).length <= most);
		}
	}), {seed: seed()});
});

test('an attempt that did not run leaves no trace', t => {
	const runs = new ExecutionHistory(1, () => true);
	const server = sampleServer('s', 'large');
	runs.recordStart(server);
	runs.revertStart(server);
	t.false(runs.mayHaveExecuted);
	t.true(runs.allowsNewServer);
});

test('retries of all instances stay within the allowance when instances are added', t => {
	const now = 1000;
	const budgets = Array.from({length: 4}, () => new RetryBudget(0.2, 100 / (2 * 2), 10_000));
	const taken = budgets.reduce((sum, budget) => sum + Array.from({length: 200}, () => budget.tryAcquire(now)).filter(Boolean).length, 0);
	t.true(taken <= 100, `${taken} of 100, though each thinks that there are two instances`);
});

test('an instance that is cut off does not make the others suspect its servers; a stage that waits does', t => {
	const board = new SuspicionQuorum(2000, 2);
	t.false(board.report({incarnationId: 's@1', isBlocking: false, from: 'a'}, 0));
	t.false(board.report({incarnationId: 's@1', isBlocking: false, from: 'a'}, 100), 'the same instance again');
	t.true(board.report({incarnationId: 's@1', isBlocking: false, from: 'b'}, 200));
	t.true(board.report({incarnationId: 'other@1', isBlocking: true, from: 'a'}, 0));
	t.false(board.report({incarnationId: 's@1', isBlocking: false, from: 'c'}, 9000), 'old reports do not count');
});

test('the load of an instance that died is forgotten', t => {
	const loads = new PeerLoads(2000);
	const server = sampleServer('s', 'large');
	loads.update('a', Object.fromEntries([['s@1', 500]]), 0);
	loads.update('b', Object.fromEntries([['s@1', 700]]), 1500);
	t.is(loads.getTokens(server, 1600), 1200);
	t.is(loads.getTokens(server, 2500), 700);
	t.is(loads.countReporting(2500), 1);
});

test('after a total stop the lease is taken at once where the table\'s clock shows that it ran out', t => {
	const lease = new Lease('new', 2500);
	const record = {holder: 'old', fencing: 4, renewedAt: 1000};
	t.is(lease.prepareRecord({record, version: 7, tableNow: 3000}, 0), undefined);
	t.deepEqual(lease.prepareRecord({record, version: 7, tableNow: 3500}, 500), {holder: 'new', fencing: 5, renewedAt: 3500});
	const given = new Lease('other', 2500);
	t.truthy(given.prepareRecord({record: {...record, renewedAt: 0}, version: 8, tableNow: 3000}, 0), 'given up by its holder');
});

test('the last holder goes on while the table is away, until it sees another one', t => {
	const lease = new Lease('self', 2500);
	t.false(lease.mayAct(0));
	lease.confirmWrite({holder: 'self', fencing: 1}, 3, 0);
	t.false(lease.isHeld(4000));
	t.true(lease.mayAct(4000));
	lease.prepareRecord({record: {holder: 'other', fencing: 2}, version: 9}, 5000);
	t.false(lease.mayAct(5000));
});

test('a holder that the table turns away stops when it hears of the one that took over', t => {
	const lease = new Lease('self', 2500);
	lease.confirmWrite({holder: 'self', fencing: 3}, 3, 0);
	lease.observeOtherHolder(2);
	t.true(lease.isHeld(100), 'an earlier holder that was suspended');
	t.true(lease.mayAct(9000), 'the table is away');
	lease.observeOtherHolder(4);
	t.false(lease.mayAct(9000));
});
