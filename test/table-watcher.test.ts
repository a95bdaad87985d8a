import {setImmediate} from 'node:timers/promises';
import test from 'ava';
import {Metrics} from '../src/observation/metrics.js';
import {TableFeed} from '../src/replication/table-feed.js';
import {TableName} from '../src/replication/table-name.js';
import {TableSet} from '../src/replication/table-set.js';
import {type TableUpdate} from '../src/replication/table-update.js';
import {TableWatcher} from '../src/replication/table-watcher.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {createStoreAccess, RecordingLog} from './support/sample-fleet.js';

/** A feed whose answers the store sends at once, and whose transfer takes long. */
class SlowFeed extends TableFeed {
	constructor(private readonly timers: ManualTimerService, private readonly transferMs: number) {
		super();
	}

	async read(): Promise<TableUpdate> {
		const update = {position: {era: 0, transaction: 1}, rows: [{key: 'config', transaction: 1, text: 'x'.repeat(500_000)}]};
		await this.timers.sleep(this.transferMs);
		return update;
	}

	async follow(): Promise<TableUpdate | undefined> {
		await this.timers.sleep(Number.MAX_SAFE_INTEGER);
		return undefined;
	}
}

// Guards against a copy that counts as confirmed later than the store sent it, now that a transfer may take five seconds.
test('a copy whose transfer took long is as old as its call', async t => {
	const timers = new ManualTimerService();
	const tables = new TableSet(new RecordingLog());
	new TableWatcher(TableName.Catalog, {
		feed: new SlowFeed(timers, 4000), tables, timers, metrics: new Metrics(), log: new RecordingLog(), access: createStoreAccess(), mayRead: () => true, onChange: () => undefined,
	}, {
		wait: 2400, pauseAfterCall: 0, slowThreshold: 400, idleInterval: 250,
	}).start();
	await setImmediate();
	for (let passed = 0; passed < 4000; passed += 100) {
		timers.advance(100);
		await setImmediate(); // eslint-disable-line no-await-in-loop
	}

	t.not(tables.get(TableName.Catalog).position, undefined);
	const age = timers.now() - tables.get(TableName.Catalog).confirmation.confirmedAt;
	t.true(age >= 3600, `${age} ms`);
});
