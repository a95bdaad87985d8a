import test from 'ava';
import {InstanceRegistry} from '../src/entry/instance-registry.js';
import {ReplicatedTable} from '../src/replication/replicated-table.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {FakeTable} from './support/fake-table.js';
import {RecordingLog} from './support/sample-fleet.js';

const expiry = 10_000;

class RegistryFixture {
	readonly timers = new ManualTimerService();
	readonly log = new RecordingLog();
	readonly store = new FakeTable();
	readonly table = new ReplicatedTable();
	readonly registry = new InstanceRegistry({id: 'self', availabilityZone: 'zone-a', peers: '10.0.0.1:1'}, {
		table: this.store, timers: this.timers, log: this.log, onChange: () => undefined,
	}, {
		refreshInterval: 5000, expiry, expiryCheckInterval: 1000, retryPause: 500,
	});

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
