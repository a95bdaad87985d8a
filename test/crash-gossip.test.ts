import test from 'ava';
import * as z from 'zod';
import {gossipMessageSchema} from '../src/peers/gossip-message.js';
import {type Quarantine} from '../src/quarantine/quarantine.js';
import {QuarantineRegister} from '../src/quarantine/quarantine-register.js';
import {ReplicatedTable} from '../src/replication/replicated-table.js';
import {TableName} from '../src/replication/table-name.js';
import {RandomSource} from '../src/routing/random-source.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {ControlFleet, type FleetInstance} from './support/control-fleet.js';
import {FakeTable, TableCallOutcome} from './support/fake-table.js';
import {RecordingLog} from './support/sample-fleet.js';

const settlingMs = 12_000;
const hourMs = 3_600_000;
/** Longest time in which a published quarantine is written and passed on to all instances. */
const publicationMs = 6000;
const part = 'part-1';

/** A message as the build without crash reports sends it. */
const previousMessage = {
	from: {id: 'previous', availabilityZone: 'zone-0', peers: '10.0.0.250:7000'},
	tables: {},
	updates: {},
	reportAges: '',
	wantsRows: true,
	loads: [],
	suspicions: [],
	ranges: [],
};

/** The tables that the build without crash reports knows; it rejects a message with others in these fields. */
const previousTablesSchema = z.partialRecord(z.enum(['catalog', 'servers', 'instances']), z.unknown());

async function startFleet(size: number, zones = 3): Promise<ControlFleet> {
	const fleet = new ControlFleet(size, zones, 33);
	fleet.start();
	await fleet.elapse(settlingMs);
	return fleet;
}

function hasQuarantine({control}: FleetInstance, expiresAt: number): boolean {
	return [...control.tables.get(TableName.Quarantine).all()].some(({key, text}) => key === part && text === JSON.stringify({expiresAt}));
}

// Guards against crash reports that are lost, repeated, told to their own origin or moved in time on their way.
test.serial('a crash report reaches each of 60 instances once, with the times on the recipient\'s clock', async t => {
	const fleet = await startFleet(60);
	const [origin, ...others] = fleet.instances;
	const now = fleet.timers.now();
	origin.control.gossip.reportCrash({incarnationId: 'server/1', crashedAt: now - 300, suspects: [{part: 'a', sentAt: now - 1000}, {part: 'b', sentAt: now - 500}]});
	await fleet.elapse(15_000);
	t.deepEqual(origin.learntCrashes, []);
	for (const {id, learntCrashes} of others) {
		t.is(learntCrashes.length, 1, `reports at ${id}`);
		const [{incarnationId, crashedAt, suspects}] = learntCrashes;
		t.is(incarnationId, 'server/1');
		t.true(Math.abs(crashedAt - (now - 300)) <= 100, `${id}: ${crashedAt - now}`);
		t.deepEqual(suspects.map(suspect => [suspect.part, suspect.sentAt - crashedAt]), [['b', -200], ['a', -700]]);
	}
});

// Guards against reports of cleared parts that are lost, repeated or told to their own origin.
test.serial('a report that clears a part reaches each of 60 instances once', async t => {
	const fleet = await startFleet(60);
	const [origin, ...others] = fleet.instances;
	origin.control.gossip.reportCleared(['a', 'b']);
	await fleet.elapse(15_000);
	t.deepEqual(origin.learntCleared, []);
	for (const {id, learntCleared} of others) {
		t.deepEqual(learntCleared, [['a', 'b']], `at ${id}`);
	}
});

// Guards against messages that grow with the number of running requests, and against the loss of cleared parts by that bound.
test.serial('of many suspects those sent last are reported; all of many cleared parts arrive', async t => {
	const fleet = await startFleet(7);
	const [origin, ...others] = fleet.instances;
	const now = fleet.timers.now();
	const parts = Array.from({length: 100}, (_, index) => `part-${index}`);
	origin.control.gossip.reportCrash({incarnationId: 'server/1', crashedAt: now, suspects: parts.map((id, index) => ({part: id, sentAt: now - 1000 + index}))});
	origin.control.gossip.reportCleared(parts);
	await fleet.elapse(5000);
	for (const {id, learntCrashes, learntCleared} of others) {
		t.deepEqual(learntCrashes[0].suspects.map(suspect => suspect.part).toSorted(), parts.slice(-32).toSorted(), `at ${id}`);
		t.deepEqual(learntCleared.flat().toSorted(), parts.toSorted(), `at ${id}`);
	}
});

// Guards against messages that grow with the number of crashes.
test.serial('after many crashes a message names a bounded number of parts', async t => {
	const fleet = await startFleet(7);
	const {gossip} = fleet.instances[0].control;
	const now = fleet.timers.now();
	for (let crash = 0; crash < 50; crash++) {
		gossip.reportCrash({incarnationId: `server/${crash}`, crashedAt: now, suspects: Array.from({length: 30}, (_, index) => ({part: `part-${index}`, sentAt: now}))});
		gossip.reportCleared(Array.from({length: 30}, (_, index) => `part-${crash}-${index}`));
	}

	const {crashes = [], vindications = []} = gossip.exchange(gossipMessageSchema.parse(previousMessage));
	t.is(crashes.flatMap(({suspects}) => suspects).length, 120);
	t.is(crashes.at(-1)?.life, 'server/49');
	t.is(vindications.flatMap(({parts}) => parts).length, 120);
});

// Guards against a quarantine that only some instances keep, or that is reported again with each change of the table.
test.serial('a quarantine that one of 60 instances publishes is reported once by each', async t => {
	const fleet = await startFleet(60);
	const expiresAt = fleet.timers.wallClock() + hourMs;
	fleet.instances[17].control.quarantineRegister.publish(part, expiresAt);
	await fleet.elapse(publicationMs);
	for (const {id, learntQuarantines} of fleet.instances) {
		t.deepEqual(learntQuarantines, [{part, expiresAt}], `at ${id}`);
	}

	fleet.store.put('quarantine', 'other', JSON.stringify({expiresAt}));
	await fleet.elapse(publicationMs);
	for (const {id, learntQuarantines} of fleet.instances) {
		t.deepEqual(learntQuarantines, [{part, expiresAt}, {part: 'other', expiresAt}], `at ${id}`);
	}
});

// Guards against a storm of writes to the store when all instances decide the same.
test.serial('60 instances publish a quarantine at the same time: most of them find it written and write nothing', async t => {
	const fleet = await startFleet(60);
	fleet.resetCounters();
	await fleet.elapse(publicationMs);
	const idleCalls = fleet.store.calls;
	fleet.resetCounters();
	const expiresAt = fleet.timers.wallClock() + hourMs;
	for (const [index, {control}] of fleet.instances.entries()) {
		control.quarantineRegister.publish(part, expiresAt + index);
	}

	await fleet.elapse(publicationMs);
	t.true(fleet.instances.every(({learntQuarantines}) => learntQuarantines.length === 1));
	const calls = fleet.store.calls - idleCalls;
	t.true(calls <= fleet.instances.length / 2, `${calls} additional calls`);
});

// Guards against a quarantine that an instance does not know after its start because the store is unavailable.
test.serial('an instance that starts while the store is unavailable gets the quarantines from the others', async t => {
	const fleet = new ControlFleet(9, 3, 33);
	const late = fleet.instances[8];
	late.isStopped = true;
	fleet.start(fleet.instances.slice(0, -1));
	await fleet.elapse(settlingMs);
	const expiresAt = fleet.timers.wallClock() + hourMs;
	fleet.instances[0].control.quarantineRegister.publish(part, expiresAt);
	await fleet.elapse(publicationMs);
	fleet.store.refused.add('all');
	late.isStopped = false;
	t.deepEqual(late.learntQuarantines, []);
	fleet.start([late]);
	await fleet.elapse(3000);
	t.deepEqual(late.learntQuarantines, [{part, expiresAt}]);
});

// Guards against the loss of a quarantine in a restart of all instances.
test.serial('an instance that starts after all others ended gets the quarantines from the store', async t => {
	const fleet = new ControlFleet(9, 3, 33);
	const late = fleet.instances[8];
	late.isStopped = true;
	fleet.start(fleet.instances.slice(0, -1));
	await fleet.elapse(settlingMs);
	const expiresAt = fleet.timers.wallClock() + hourMs;
	fleet.instances[0].control.quarantineRegister.publish(part, expiresAt);
	await fleet.elapse(publicationMs);
	for (const instance of fleet.instances) {
		instance.isStopped = instance !== late;
	}

	fleet.start([late]);
	await fleet.elapse(5000);
	t.deepEqual(late.learntQuarantines, [{part, expiresAt}]);
});

// Guards against a quarantine that is never written because the store was unavailable when it was decided.
test.serial('a quarantine that is published while the store is unavailable is written and passed on afterwards', async t => {
	const fleet = await startFleet(7);
	fleet.store.refused.add('all');
	const expiresAt = fleet.timers.wallClock() + hourMs;
	fleet.instances[3].control.quarantineRegister.publish(part, expiresAt);
	await fleet.elapse(10_000);
	t.true(fleet.instances.every(({learntQuarantines}) => learntQuarantines.length === 0));
	fleet.store.refused.clear();
	const elapsed = await fleet.measureUntil(() => fleet.instances.every(({learntQuarantines}) => learntQuarantines.length === 1), 60_000);
	t.true(Number.isFinite(elapsed));
	t.true(fleet.instances.every(instance => hasQuarantine(instance, expiresAt)));
});

// Guards against a quarantine that the store loses when it returns from an older copy.
test.serial('a store that returns from a copy without the quarantine: the instance that published it writes it again', async t => {
	const fleet = await startFleet(7);
	fleet.store.takeCopy();
	const expiresAt = fleet.timers.wallClock() + hourMs;
	fleet.instances[3].control.quarantineRegister.publish(part, expiresAt);
	await fleet.elapse(publicationMs);
	t.true(fleet.instances.every(instance => hasQuarantine(instance, expiresAt)));
	fleet.store.restoreCopy();
	t.deepEqual(fleet.store.readRows('quarantine'), []);
	await fleet.elapse(publicationMs * 2);
	t.is(fleet.store.readRows('quarantine').length, 1);
	t.true(fleet.instances.every(({control}) => control.tables.get(TableName.Quarantine).position?.era === 2));
	t.true(fleet.instances.every(instance => hasQuarantine(instance, expiresAt)));
});

// Guards against instances of two builds that cannot talk to each other while an update is rolled out.
test.serial('instances of the previous build and of this one accept each other\'s messages', async t => {
	const fleet = await startFleet(7);
	const expiresAt = fleet.timers.wallClock() + hourMs;
	const {control} = fleet.instances[0];
	control.quarantineRegister.publish(part, expiresAt);
	await fleet.elapse(publicationMs);
	control.gossip.reportCleared([part]);
	const answer = control.gossip.exchange(gossipMessageSchema.parse(previousMessage));
	t.deepEqual(Object.keys(previousTablesSchema.parse(answer.tables)).toSorted(), ['catalog', 'instances', 'servers']);
	t.deepEqual(Object.keys(previousTablesSchema.parse(answer.updates)).toSorted(), ['catalog', 'instances', 'servers']);
	t.deepEqual(Object.keys(answer.furtherTables ?? {}), ['quarantine']);
	t.deepEqual(answer.furtherUpdates?.quarantine.rows.map(({key}) => key), [part]);
	const text = JSON.stringify(answer);
	const sent: unknown = JSON.parse(text);
	t.deepEqual(gossipMessageSchema.parse(sent), sent);
});

// Guards against instances of this build that reject the message of a later one because of a table that they do not know.
test.serial('a table that this build does not know is ignored', async t => {
	const fleet = await startFleet(7);
	const status = {
		era: 1, transaction: 1, lastChange: 1, age: 0,
	};
	const message = gossipMessageSchema.parse({...previousMessage, furtherTables: {later: status}, furtherUpdates: {later: {position: {era: 1, transaction: 1}, rows: []}}});
	t.notThrows(() => fleet.instances[0].control.gossip.exchange(message));
});

class RegisterFixture {
	readonly timers = new ManualTimerService();
	readonly log = new RecordingLog();
	readonly store = new FakeTable();
	readonly table = new ReplicatedTable();
	readonly learnt: Array<readonly [part: string, expiresAt: number]> = [];
	readonly register = new QuarantineRegister({
		table: this.store,
		timers: this.timers,
		random: new RandomSource(1),
		countInstances: () => 1,
		log: this.log,
		onQuarantine: (id, expiresAt) => {
			this.learnt.push([id, expiresAt]);
		},
	}, {
		delayPerInstance: 1000, maxDelay: 1000, expiryTolerance: 100, retryPause: 1000, maxRetryPause: 4000,
	});

	private transaction = 0;

	/** Applies a table whose rows have these texts, all written by the same transaction. */
	update(rows: Readonly<Record<string, string>>, era = 1): void {
		this.transaction++;
		this.table.apply({
			position: {era, transaction: this.transaction}, rows: Object.entries(rows).map(([key, text]) => ({key, text, transaction: 1})),
		});
		this.register.update(this.table);
	}

	async elapse(duration: number): Promise<void> {
		for (let passed = 0; passed < duration; passed += 100) {
			this.timers.advance(100);
			for (let turn = 0; turn < 20; turn++) {
				await Promise.resolve(); // eslint-disable-line no-await-in-loop
			}
		}
	}

	countLines(wanted: string): number {
		return this.log.lines.filter(({kind}) => kind === wanted).length;
	}
}

// Guards against an unreadable row that hides the others or fills the log, and against quarantines that are over.
test('an unreadable row is logged once and ignored, and so is an expired one', t => {
	const fixture = new RegisterFixture();
	fixture.timers.advance(5000);
	const rows = {
		broken: 'not JSON', strange: '{"expiresAt": "soon"}', old: '{"expiresAt": 5000}', good: '{"expiresAt": 6000}',
	};
	fixture.update(rows);
	fixture.update({...rows, more: '{"expiresAt": 7000}'});
	t.deepEqual(fixture.learnt, [['good', 6000], ['more', 7000]]);
	t.is(fixture.countLines('quarantine.row_unreadable'), 2);
});

// Guards against calls to the store for what another instance wrote.
test('a quarantine whose row arrives before it is written is not written, if the row expires at about the same time', async t => {
	const fixture = new RegisterFixture();
	fixture.register.publish(part, 60_000);
	fixture.update({[part]: '{"expiresAt": 59950}'});
	await fixture.elapse(20_000);
	t.is(fixture.store.transactions, 0);
});

// Guards against a shorter quarantine that replaces a longer one, and against one that is never extended.
test('a row that expires later stays, one that expires earlier is extended', async t => {
	const fixture = new RegisterFixture();
	fixture.store.rows.set(part, {key: part, version: 7, value: '{"expiresAt":90000}'});
	fixture.register.publish(part, 60_000);
	await fixture.elapse(2000);
	t.is(fixture.store.rows.get(part)?.value, '{"expiresAt":90000}');
	fixture.register.publish(part, 120_000);
	await fixture.elapse(2000);
	t.is(fixture.store.rows.get(part)?.value, '{"expiresAt":120000}');
	const {transactions} = fixture.store;
	await fixture.elapse(20_000);
	t.is(fixture.store.transactions, transactions, 'nothing is left to write');
});

// Guards against endless writes to a store that does not return, and against a failure that nobody sees.
test('a write that fails is repeated with growing pauses, logged, and given up when the quarantine has expired', async t => {
	const fixture = new RegisterFixture();
	fixture.store.nextOutcome = () => TableCallOutcome.Refused;
	fixture.register.publish(part, 60_000);
	await fixture.elapse(100_000);
	t.true(fixture.store.transactions >= 7 && fixture.store.transactions <= 20, `${fixture.store.transactions} writes`);
	t.is(fixture.countLines('quarantine.not_written'), fixture.store.transactions);
	t.is(fixture.countLines('quarantine.abandoned'), 1);
});

// Guards against a write that is taken for lost and repeated for ever.
test('a write whose response is lost is found in the store', async t => {
	const fixture = new RegisterFixture();
	fixture.store.nextOutcome = () => fixture.store.transactions === 1 ? TableCallOutcome.ResponseLost : TableCallOutcome.Succeeded;
	fixture.register.publish(part, 60_000);
	await fixture.elapse(30_000);
	t.is(fixture.store.transactions, 2);
	t.is(fixture.store.rows.get(part)?.version, 1);
});

// Guards against a quarantine that an operator removes and the instances put back.
test('a row that is deleted in the same era is not written again', async t => {
	const fixture = new RegisterFixture();
	fixture.update({});
	fixture.register.publish(part, 60_000);
	await fixture.elapse(2000);
	fixture.update({[part]: '{"expiresAt":60000}'});
	fixture.update({});
	await fixture.elapse(20_000);
	t.is(fixture.store.transactions, 1);
	fixture.store.rows.clear();
	fixture.update({}, 2);
	await fixture.elapse(20_000);
	t.is(fixture.store.rows.get(part)?.value, '{"expiresAt":60000}');
});

// Guards against an instance that lets a deadly request through because it was cut off, or started, while the others learned of it and the store was unavailable.
test('a quarantine reaches instances that were cut off or restarted, without the store', async t => {
	const fleet = new ControlFleet(9, 3, 6);
	fleet.start();
	await fleet.elapse(8000);
	const [first] = fleet.instances;
	const cutOff = fleet.instances.at(-1)!;
	cutOff.isStopped = true;
	const expiresAt = fleet.timers.now() + 600_000;
	for (let index = 0; index < 30; index++) {
		first.quarantine.add(`request:${index}`, expiresAt);
	}

	await fleet.elapse(10_000);
	cutOff.isStopped = false;
	const knowsAll = (quarantine: Quarantine) => quarantine.all().length === 30;
	t.true(await fleet.measureUntil(() => fleet.instances.every(({quarantine}) => knowsAll(quarantine)), 20_000) <= 15_000);
	t.true(Math.abs(cutOff.quarantine.all()[0].expiresAt - expiresAt) <= 1);

	const restarted = new ControlFleet(2, 1, 1);
	restarted.instances[0].quarantine.add('request:1', expiresAt);
	await Promise.all([restarted.instances[1].control.gossip.join([restarted.instances[0].address]), restarted.elapse(100)]);
	t.true(restarted.instances[1].quarantine.has('request:1'));
});

test('a quarantine that expired is not passed on', async t => {
	const fleet = new ControlFleet(2, 1, 1);
	const [first, second] = fleet.instances;
	first.quarantine.add('request:1', fleet.timers.now() - 1);
	await Promise.all([second.control.gossip.join([first.address]), fleet.elapse(100)]);
	t.false(second.quarantine.has('request:1'));
});
