import test from 'ava';
import {InstanceRegistry} from '../src/entry/instance-registry.js';
import {ReplicatedTable} from '../src/replication/replicated-table.js';
import {TableName} from '../src/replication/table-name.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {FakeTable} from './support/fake-table.js';
import {ControlFleet, type FleetInstance} from './support/control-fleet.js';
import {RecordingLog} from './support/sample-fleet.js';

const expiry = 10_000;
const contactTime = 3000;
const fleetSize = 24;
const settlingMs = 12_000;

class RegistryFixture {
	readonly timers = new ManualTimerService();
	readonly log = new RecordingLog();
	readonly store = new FakeTable();
	readonly table = new ReplicatedTable();
	readonly registry = new InstanceRegistry({id: 'self', availabilityZone: 'zone-a', peers: '10.0.0.1:1'}, {
		table: this.store, timers: this.timers, log: this.log, onChange: () => {
			this.changes++;
		},
	}, {
		refreshInterval: 5000, expiry, expiryCheckInterval: 1000, retryPause: 500, contactTime,
	});

	changes = 0;
	private transaction = 0;

	/** Applies a table whose rows have these texts. */
	update(rows: Readonly<Record<string, string>>, era = 1): void {
		this.transaction++;
		this.table.apply({
			position: {era, transaction: this.transaction}, rows: Object.entries(rows).map(([key, text]) => ({key, text, transaction: 1})),
		});
		this.registry.update(this.table);
	}

	get ids(): readonly string[] {
		return this.registry.all().map(({id}) => id).toSorted();
	}
}

const row = JSON.stringify({availabilityZone: 'zone-a', peers: '10.0.0.2:1'});

test('an instance that ended is not added again by the row that it left behind', t => {
	const fixture = new RegistryFixture();
	fixture.registry.start();
	fixture.update({self: row, other: row});
	t.deepEqual(fixture.ids, ['other', 'self']);
	fixture.timers.advance(expiry + 2000);
	t.deepEqual(fixture.ids, ['self']);
	fixture.update({self: row, other: row});
	t.deepEqual(fixture.ids, ['self'], 'the same row');
	fixture.registry.recordContact({id: 'other', availabilityZone: 'zone-a', peers: '10.0.0.2:1'});
	t.deepEqual(fixture.ids, ['other', 'self'], 'it runs');
});

test('one row that cannot be decoded is logged and does not hide the others', t => {
	const fixture = new RegistryFixture();
	fixture.update({broken: 'not JSON', strange: '{"peers": 4}', other: row});
	t.deepEqual(fixture.ids, ['other', 'self']);
	t.is(fixture.log.lines.filter(({kind}) => kind === 'members.row_unreadable').length, 2);
	fixture.update({broken: 'not JSON', strange: '{"peers": 4}', other: row});
	t.is(fixture.log.lines.filter(({kind}) => kind === 'members.row_unreadable').length, 2, 'logged once');
});

test('an instance that stops says so in its row and is removed', t => {
	const fixture = new RegistryFixture();
	fixture.update({other: row});
	fixture.update({other: ''}, 2);
	t.deepEqual(fixture.ids, ['self']);
});

test('rows that the store lost when it returned from an older copy remove no instance, and the own row is written again', async t => {
	const fixture = new RegistryFixture();
	fixture.update({self: row, other: row});
	fixture.update({}, 2);
	t.deepEqual(fixture.ids, ['other', 'self']);
	await Promise.resolve();
	t.is(fixture.store.transactions, 1);
});

const other = {id: 'other', availabilityZone: 'zone-a', peers: '10.0.0.2:1'};

/** Returns the number of instances by which this one divides what all may use together, or that they are not known and the number is large. */
function describeSharing({registry}: RegistryFixture): number | string {
	if (registry.isInitialized) {
		return registry.countSharing();
	}

	return registry.findSharing() === undefined && registry.countSharing() > 100 ? 'not known' : 'unclear';
}

// Guards against an instance that has just started and takes for itself most of what all instances share.
test('a message of one instance does not tell how many share the servers; the table does', t => {
	const fixture = new RegistryFixture();
	fixture.registry.start();
	t.is(describeSharing(fixture), 'not known');
	fixture.registry.recordContact(other);
	t.is(describeSharing(fixture), 'not known');
	t.deepEqual(fixture.ids, ['other', 'self'], 'it gets messages');
	fixture.update({self: row, other: row, third: row});
	t.is(describeSharing(fixture), 3);
	fixture.timers.advance(contactTime);
	t.is(describeSharing(fixture), 3);
});

test('a single instance knows that it is alone once it has the table', t => {
	const fixture = new RegistryFixture();
	fixture.registry.start();
	fixture.update({});
	t.is(describeSharing(fixture), 1);
});

test('without the table, those that sent messages until some time after the start count as all', t => {
	const fixture = new RegistryFixture();
	fixture.registry.start();
	fixture.registry.recordContact(other);
	fixture.timers.advance(contactTime - 1);
	t.is(describeSharing(fixture), 'not known');
	const {changes} = fixture;
	fixture.timers.advance(1);
	t.is(describeSharing(fixture), 2);
	t.is(fixture.changes, changes + 1, 'those that compute shares are told');
});

test('an instance that has neither the table nor a message of another one does not count as alone', t => {
	const fixture = new RegistryFixture();
	fixture.registry.start();
	fixture.timers.advance(2 * contactTime);
	t.is(describeSharing(fixture), 'not known');
	fixture.registry.recordContact(other);
	t.is(describeSharing(fixture), 2);
});

/** Starts all instances but the last one, and returns that. */
async function startAllButOne(fleet: ControlFleet): Promise<FleetInstance> {
	const late = fleet.instances.at(-1)!;
	fleet.start(fleet.instances.slice(0, -1));
	await fleet.elapse(settlingMs);
	return late;
}

function contact({control}: FleetInstance, {id, address}: FleetInstance): void {
	control.gossip.exchange({
		from: {id, availabilityZone: 'zone-2', peers: address}, tables: {}, updates: {}, loads: [], suspicions: [], ranges: [],
	});
}

for (const isStoreDown of [false, true]) {
	test.serial(`an instance that starts in a running fleet ${isStoreDown ? 'while the store is down ' : ''}knows all instances as soon as it counts them as known`, async t => {
		const fleet = new ControlFleet(fleetSize, 3, 9);
		const late = await startAllButOne(fleet);
		if (isStoreDown) {
			fleet.store.refused.add('all');
		}

		const {instanceRegistry} = late.control;
		contact(late, fleet.instances[20]);
		t.is(instanceRegistry.all().length, 2);
		t.false(instanceRegistry.isInitialized);
		t.true(instanceRegistry.countSharing() >= fleetSize);
		fleet.start([late]);
		const elapsed = await fleet.measureUntil(() => instanceRegistry.isInitialized, 5000);
		t.log(`${elapsed} ms`);
		t.true(elapsed <= 1000, `${elapsed} ms`);
		t.is(instanceRegistry.countSharing(), fleetSize);
	});
}

/** Returns the milliseconds until every instance divides by the number of all. */
async function measureUntilAllKnown(fleet: ControlFleet, limit: number): Promise<number> {
	return fleet.measureUntil(() => fleet.instances.every(({control}) => control.instanceRegistry.isInitialized && control.instanceRegistry.countSharing() === fleetSize), limit);
}

test.serial('instances that all start on a store without their rows soon know each other', async t => {
	const fleet = new ControlFleet(fleetSize, 3, 9);
	fleet.start();
	const elapsed = await measureUntilAllKnown(fleet, 5000);
	t.log(`${elapsed} ms`);
	t.true(elapsed <= 1000, `${elapsed} ms`);
});

// Until the store answers they have no configuration either, so that they send no requests.
test.serial('instances that all start while the store is down do not count the others as known before the time of contacts is over, and know all soon after its return', async t => {
	const fleet = new ControlFleet(fleetSize, 3, 9);
	fleet.store.refused.add('all');
	fleet.start();
	await fleet.elapse(9900);
	t.true(fleet.instances.every(({control}) => !control.instanceRegistry.isInitialized));
	await fleet.elapse(2100);
	t.true(fleet.instances.every(({control}) => control.instanceRegistry.isInitialized));
	t.true(fleet.instances.every(({control}) => control.tables.get(TableName.Catalog).position === undefined));
	fleet.store.refused.clear();
	const elapsed = await measureUntilAllKnown(fleet, 10_000);
	t.log(`${elapsed} ms`);
	t.true(elapsed <= 4000, `${elapsed} ms`);
});
