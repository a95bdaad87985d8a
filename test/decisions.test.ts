import test from 'ava';
import fc from 'fast-check';
import {Admission} from '../src/admission/admission.js';
import {RetryBudget} from '../src/admission/retry-budget.js';
import {RetryUrgency} from '../src/admission/retry-urgency.js';
import {type AdmissionRequest} from '../src/admission/admission-request.js';
import {ActiveConfiguration} from '../src/configuration/active-configuration.js';
import {ConfigurationFreshness} from '../src/configuration/configuration-freshness.js';
import {priorities, Priority} from '../src/configuration/priority.js';
import {RowKind} from '../src/configuration/row-kind.js';
import {type Workspace} from '../src/configuration/sheet-row.js';
import {Sheet} from '../src/configuration/sheet.js';
import {MemberState} from '../src/membership/member-state.js';
import {Membership} from '../src/membership/membership.js';
import {Invariants} from '../src/observation/invariants.js';
import {ResultCode} from '../src/results/result-code.js';
import {FlowNetwork} from '../src/routing/flow-network.js';
import {RandomSource} from '../src/routing/random-source.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {UsageMeter} from '../src/usage/usage-meter.js';
import {usageRecordSchema} from '../src/usage/usage-record.js';
import {FakeTable, TableCallOutcome} from './support/fake-table.js';
import {seed} from './support/seed.js';
import {silentLog} from './support/silent-log.js';

function ticket(id: string, changes: Partial<AdmissionRequest> = {}): AdmissionRequest {
	return {
		id, workspace: 'a', priority: Priority.Normal, share: 10, cost: 100, deadline: 60_000, expectedDuration: 100, ...changes,
	};
}

test('admission: the queue is bounded, and a request that does not fit is rejected immediately with a retry delay', t => {
	const admission = new Admission({queue: 2, queueTime: 1000}, new Invariants());
	admission.request(ticket('1'), 1, 0);
	admission.request(ticket('2'), 1, 0);
	admission.request(ticket('3'), 1, 0);
	const {refused} = admission.request(ticket('4'), 1, 0);
	t.is(refused[0].failure.code, ResultCode.Overloaded);
	t.true(refused[0].failure.retryAfterSeconds! >= 1);
});

test('admission: a request that cannot meet its deadline is rejected immediately, and one that waited too long is rejected later', t => {
	const admission = new Admission({queue: 10, queueTime: 1000}, new Invariants());
	admission.request(ticket('1'), 1, 0);
	t.is(admission.request(ticket('2', {deadline: 500}), 1, 0).refused[0].failure.code, ResultCode.DeadlineUnreachable);
	admission.request(ticket('3'), 1, 0);
	t.is(admission.advance(1, 1001).refused[0].request.id, '3');
});

test('admission: higher priorities are admitted first, and equal priorities in proportion to their shares', t => {
	const admission = new Admission({queue: 1000, queueTime: 100_000}, new Invariants());
	const deadline = 10_000_000;
	admission.request(ticket('running'), 1, 0);
	for (let index = 0; index < 60; index++) {
		admission.request(ticket(`a${index}`, {workspace: 'a', share: 10, deadline}), 1, 0);
		admission.request(ticket(`b${index}`, {workspace: 'b', share: 30, deadline}), 1, 0);
	}

	admission.request(ticket('urgent', {workspace: 'c', priority: Priority.High}), 1, 0);
	const order: string[] = [];
	let current = 'running';
	for (let index = 0; index < 41; index++) {
		const {admitted} = admission.end(current, 1, 0);
		current = admitted[0].id;
		order.push(current);
	}

	t.is(order[0], 'urgent');
	const countOfB = order.filter(id => id.startsWith('b')).length;
	t.true(countOfB >= 29 && countOfB <= 31, `${countOfB} of 40 for three quarters of the share`);
});

test('admission: the expected wait depends on priority and share, not on the length of the whole queue', t => {
	const admission = new Admission({queue: 1000, queueTime: 100_000}, new Invariants());
	admission.request(ticket('running'), 1, 0);
	for (let index = 0; index < 60; index++) {
		admission.request(ticket(`a${index}`, {deadline: 10_000_000}), 1, 0);
	}

	t.deepEqual(admission.request(ticket('urgent', {workspace: 'b', priority: Priority.High}), 1, 0).refused, []);
	t.deepEqual(admission.request(ticket('light', {workspace: 'c'}), 1, 0).refused, []);
	t.is(admission.request(ticket('heavy', {workspace: 'a'}), 1, 0).refused.length, 1);
});

test('admission: in any order of events the queue stays bounded and each request is decided once', t => {
	const events = fc.array(fc.record({
		isEnd: fc.boolean(),
		pick: fc.nat(50),
		priority: fc.constantFrom(...priorities),
		workspace: fc.constantFrom('a', 'b', 'c'),
		capacity: fc.integer({min: 1, max: 5}),
		pause: fc.integer({min: 0, max: 300}),
		deadline: fc.integer({min: 0, max: 3000}),
	}), {maxLength: 80, size: 'max'});
	const property = fc.property(events, list => {
		const invariants = new Invariants();
		const admission = new Admission({queue: 5, queueTime: 500}, invariants);
		const decided = new Set<string>();
		const running: string[] = [];
		let now = 0;
		let isOnce = true;
		for (const [index, event] of list.entries()) {
			now += event.pause;
			const outcome = event.isEnd && running.length > 0
				? admission.end(running.splice(event.pick % running.length, 1)[0], event.capacity, now, 200)
				: admission.request(ticket(`${index}`, {priority: event.priority, workspace: event.workspace, deadline: now + event.deadline}), event.capacity, now);
			for (const {id} of [...outcome.admitted, ...outcome.refused.map(entry => entry.request)]) {
				isOnce &&= !decided.has(id);
				decided.add(id);
			}

			running.push(...outcome.admitted.map(({id}) => id));
		}

		return isOnce && admission.waitingCount <= 5 && invariants.violations().size === 0 && running.length === admission.runningCount;
	});
	t.notThrows(() => {
		fc.assert(property, {seed: seed(), numRuns: 500});
	});
});

test('retry budget: in any window of 10 s, retries stay within the budget', t => {
	const property = fc.property(fc.array(fc.tuple(fc.boolean(), fc.integer({min: 0, max: 2000})), {maxLength: 200, size: 'max'}), events => {
		const budget = new RetryBudget(0.2, 3);
		const requests: number[] = [];
		const retries: number[] = [];
		let now = 0;
		for (const [isRequest, pause] of events) {
			now += pause;
			if (isRequest) {
				budget.recordRequest(now);
				requests.push(now);
			} else if (budget.tryAcquire(now, RetryUrgency.Begun)) {
				retries.push(now);
				const since = now - 10_000;
				if (retries.filter(at => at > since).length > 3 + (0.2 * requests.filter(at => at > since).length)) {
					return false;
				}
			}
		}

		return true;
	});
	t.notThrows(() => {
		fc.assert(property, {seed: seed()});
	});
});

test('version: it only increases, in whatever order versions are applied', t => {
	const property = fc.property(fc.array(fc.integer({min: 0, max: 20})), versions => {
		const activeConfiguration = new ActiveConfiguration(new Invariants());
		let highest = -1;
		for (const version of versions) {
			activeConfiguration.apply({version, sheet: new Sheet([])});
			highest = Math.max(highest, version);
			if (activeConfiguration.version() !== highest) {
				return false;
			}
		}

		return true;
	});
	t.notThrows(() => {
		fc.assert(property, {seed: seed()});
	});
});

test('freshness: it expires without the table and peers, and lasts while half of the peers are alive', t => {
	const freshness = new ConfigurationFreshness(5000);
	freshness.confirm(0);
	const contact = {peerCount: 4, aliveCount: 2, lastContactAt: 9000};
	t.true(freshness.isConfirmed(5000, {...contact, aliveCount: 0}));
	t.true(freshness.isConfirmed(10_000, contact));
	t.false(freshness.isConfirmed(10_000, {...contact, aliveCount: 1}));
	t.false(freshness.isConfirmed(20_000, contact), 'no peer was reached recently');
	t.false(freshness.isConfirmed(10_000, {peerCount: 0, aliveCount: 0, lastContactAt: Number.NEGATIVE_INFINITY}));
});

type Node = {
	readonly membership: Membership;
	isUp: boolean;
};

const lossPercent = 10;

/** Simulates a group of members with a manual clock. Messages to and from members that are down are lost, and 10 in 100 of all others. */
function runMembers(count: number, periods: number, seedNumber: number, downFrom: ReadonlyMap<number, number>): readonly Node[] {
	const random = new RandomSource(seedNumber);
	const listed = new Map(Array.from({length: count}, (_, index): [string, string] => [`m${index}`, `m${index}`]));
	const nodes = Array.from({length: count}, (_, index): Node => ({membership: new Membership(`m${index}`, 5000, new RandomSource(seedNumber + index)), isUp: true}));
	for (const node of nodes) {
		node.membership.applyList(listed, 0);
	}

	const isLost = () => random.nextInteger(100) < lossPercent;
	const exchange = (from: number, to: number, now: number): boolean => {
		if (!nodes[to].isUp || isLost()) {
			return false;
		}

		nodes[to].membership.recordMessage(`m${from}`, now);
		nodes[to].membership.applyRumors(nodes[from].membership.nextRumors(`m${to}`), now);
		if (isLost()) {
			return false;
		}

		nodes[from].membership.recordAcknowledgement(`m${to}`, now, now);
		nodes[from].membership.applyRumors(nodes[to].membership.nextRumors(`m${from}`), now);
		return true;
	};

	for (let period = 0; period < periods; period++) {
		const now = period * 1000;
		for (const [index, node] of nodes.entries()) {
			node.isUp = period < (downFrom.get(index) ?? Number.POSITIVE_INFINITY);
			const probe = node.isUp ? node.membership.startPeriod(now) : undefined;
			const target = Number(probe?.target.slice(1));
			if (!probe || exchange(index, target, now)) {
				continue;
			}

			const through = node.membership.planIndirectProbe(probe.target)?.helpers ?? [];
			const isHeard = through.some(helper => nodes[Number(helper.slice(1))].isUp && !isLost() && !isLost() && nodes[target].isUp && !isLost() && !isLost());
			if (!isHeard) {
				node.membership.suspect(probe.target, now);
			}
		}
	}

	return nodes;
}

test('membership: every member detects the dead ones and keeps the live ones, at a message loss of 10 in 100', t => {
	for (let run = 0; run < 20; run++) {
		const nodes = runMembers(20, 60, seed() + (run * 100), new Map([[3, 10], [7, 20]]));
		for (const [index, {membership}] of nodes.entries()) {
			if (index === 3 || index === 7) {
				continue;
			}

			const dead = membership.all().filter(({state}) => state === MemberState.Dead).map(({id}) => id).toSorted();
			t.deepEqual(dead, ['m3', 'm7'], `run ${run}, member ${index}`);
		}
	}
});

test('flow: the maximum flow equals the minimum cut', t => {
	const size = 6;
	const edges = fc.array(fc.tuple(fc.nat(size - 1), fc.nat(size - 1), fc.integer({min: 1, max: 20})), {maxLength: 15});
	const property = fc.property(edges, list => {
		const network = new FlowNetwork(size);
		for (const [from, to, capacity] of list) {
			network.addEdge(from, to, capacity);
		}

		let smallest = Number.POSITIVE_INFINITY;
		for (let set = 0; set < 2 ** (size - 2); set++) {
			const isInside = (node: number) => node === 0 || (node !== 1 && Math.floor(set / (2 ** (node - 2))) % 2 === 1);
			let cut = 0;
			for (const [from, to, capacity] of list) {
				cut += isInside(from) && !isInside(to) ? capacity : 0;
			}

			smallest = Math.min(smallest, cut);
		}

		return network.maximize(0, 1) === smallest;
	});
	t.notThrows(() => {
		fc.assert(property, {seed: seed()});
	});
});

const workspace: Workspace = {
	kind: RowKind.Workspace, name: 'w', priority: Priority.Normal, share: 10, tokensPerMinute: 1000, concurrentStreams: 5, keyDigest: '',
};

test('usage: with several instances, kills and outages, use stays within its bound and settled tokens are charged once', async t => {
	const step = fc.record({
		instance: fc.nat(2), tokens: fc.integer({min: 1, max: 300}), fate: fc.constantFrom(...Object.values(TableCallOutcome)), isKilled: fc.integer({min: 0, max: 19}).map(number => number === 0),
	});
	const property = fc.asyncProperty(fc.array(step, {maxLength: 60, size: 'max'}), async steps => {
		let fate = TableCallOutcome.Succeeded;
		const table = new FakeTable(() => fate);
		const timers = new ManualTimerService();
		let processes = 0;
		const start = () => new UsageMeter({
			table, timers, holder: `process-${processes++}`, countInstances: () => 3, invariants: new Invariants(), log: silentLog,
		});
		const meters = [start(), start(), start()];
		let used = 0;
		for (const {instance, tokens, fate: next, isKilled} of steps) {
			fate = next;
			try {
				const reservation = await meters[instance].reserve(workspace, tokens); // eslint-disable-line no-await-in-loop
				used += tokens;
				meters[instance].settle(reservation, tokens);
			} catch {}

			table.applyDelayedWrites();
			if (isKilled) {
				meters[instance] = start();
			}
		}

		fate = TableCallOutcome.Succeeded;
		await Promise.all(meters.map(async meter => meter.flush()));
		const record = usageRecordSchema.parse(JSON.parse([...table.rows.values()][0]?.value ?? '{"holders":{}}'));
		let granted = 0;
		for (const holder of Object.values(record.holders)) {
			granted += Math.min(holder.granted, holder.used ?? holder.granted);
		}

		return granted <= 1000 && used <= 1000 + (processes * Math.ceil(1000 / 3));
	});
	await t.notThrowsAsync(async () => fc.assert(property, {seed: seed(), numRuns: 300}));
});
