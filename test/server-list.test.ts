import {Buffer} from 'node:buffer';
import test from 'ava';
import {type StoreClient, type StoreReadResult, type StoreRow} from '../platform/store-client.js';
import {StoreServerList} from '../platform/store-server-list.js';
import {Metrics} from '../src/observation/metrics.js';
import {type BackendServer} from '../src/pipelines/backend-server.js';
import {ServerDirectory} from '../src/pipelines/server-directory.js';
import {ServerListWatcher} from '../src/pipelines/server-list-watcher.js';
import {ServerList} from '../src/pipelines/server-list.js';
import {PlatformError} from '../src/store/platform-error.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {RecordingLog, sampleServer} from './support/sample-fleet.js';

function row(key: string, transaction: number, state = 'ready'): StoreRow {
	const entry = {
		service: 'model', address: '10.0.0.1:8000', zone: 'zone-a', batchSlots: 4, state, born: 7,
	};
	return {
		tableName: 'servers', key, data: Buffer.from(JSON.stringify(entry)).toString('base64'), schemaVersion: transaction, deleted: false,
	};
}

/** A store that answers its calls with scripted readings and errors. */
class ScriptedStore {
	readonly calls: string[] = [];

	constructor(private readonly answers: Array<StoreReadResult | undefined | Error>) {}

	async read(): Promise<StoreReadResult> {
		return this.next('read')!;
	}

	async follow(_table: string, after: number): Promise<StoreReadResult | undefined> {
		return this.next(`follow ${after}`);
	}

	private next(call: string): StoreReadResult | undefined {
		this.calls.push(call);
		const answer = this.answers.shift();
		if (answer instanceof Error) {
			throw answer;
		}

		return answer;
	}
}

function createList(store: ScriptedStore): StoreServerList {
	return new StoreServerList(store as unknown as StoreClient, new RecordingLog()); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

const describeServers = (servers: readonly BackendServer[]) => servers.map(({id, isLeaving}) => isLeaving ? `${id} leaving` : id).toSorted();

test('after the first reading only changes are read', async t => {
	const store = new ScriptedStore([
		{rows: [row('a', 1), row('b', 2)], transaction: 5},
		{rows: [row('a', 6, 'draining'), row('c', 7)], transaction: 7},
		{rows: [], transaction: 9},
		{rows: [{...row('a', 10), deleted: true, data: ''}], transaction: 10},
	]);
	const list = createList(store);
	t.deepEqual(describeServers(await list.next(100)), ['a', 'b']);
	t.deepEqual(describeServers(await list.next(100)), ['a leaving', 'b', 'c']);
	t.deepEqual(describeServers(await list.next(100)), ['a leaving', 'b', 'c']);
	t.deepEqual(describeServers(await list.next(100)), ['b', 'c']);
	t.deepEqual(store.calls, ['read', 'follow 5', 'follow 7', 'follow 9']);
});

test('the whole list is read again after the store discarded its history or a call failed', async t => {
	const store = new ScriptedStore([
		{rows: [row('a', 1), row('b', 2)], transaction: 5},
		undefined,
		{rows: [row('b', 2), row('c', 8)], transaction: 8},
		new PlatformError('no answer', true),
		{rows: [row('c', 8)], transaction: 9},
	]);
	const list = createList(store);
	await list.next(100);
	t.deepEqual(describeServers(await list.next(100)), ['b', 'c'], 'the history was discarded');
	await t.throwsAsync(async () => list.next(100));
	t.deepEqual(describeServers(await list.next(100)), ['c'], 'a call failed');
	t.deepEqual(store.calls, ['read', 'follow 5', 'read', 'follow 8', 'read']);
});

test('an unreadable entry is skipped and logged once', async t => {
	const unreadable = {...row('x', 3), data: Buffer.from('{"state": 4}').toString('base64')};
	const log = new RecordingLog();
	const store = new ScriptedStore([{rows: [row('a', 1), unreadable], transaction: 5}, undefined, {rows: [row('a', 1), unreadable], transaction: 6}]);
	const list = new StoreServerList(store as unknown as StoreClient, log); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	t.deepEqual(describeServers(await list.next(100)), ['a']);
	t.deepEqual(describeServers(await list.next(100)), ['a']);
	t.is(log.lines.length, 1);
});

/** A list that a test changes; a call resolves when its wait is over. */
class WaitingList extends ServerList {
	servers: readonly BackendServer[] = [];
	isUnavailable = false;

	constructor(private readonly timers: ManualTimerService) {
		super();
	}

	async next(wait: number): Promise<readonly BackendServer[]> {
		if (this.isUnavailable) {
			throw new PlatformError('the store answered 503', false);
		}

		await this.timers.sleep(wait);
		return this.servers;
	}
}

/** Advances the time in steps of 50 ms and lets pending promises settle in between. */
async function elapse(timers: ManualTimerService, milliseconds: number): Promise<void> {
	for (let passed = 0; passed < milliseconds; passed += 50) {
		timers.advance(50);
		for (let turn = 0; turn < 10; turn++) {
			await Promise.resolve(); // eslint-disable-line no-await-in-loop
		}
	}
}

test('entries that expired while the store was unavailable are kept until the recovery grace is over', async t => {
	const timers = new ManualTimerService();
	const directory = new ServerDirectory(timers, new RecordingLog());
	const list = new WaitingList(timers);
	list.servers = ['a', 'b'].map(id => sampleServer(id, 'large'));
	new ServerListWatcher({
		list, directory, timers, metrics: new Metrics(), log: new RecordingLog(), onRead() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	}, {
		wait: 500, pauseAfterChange: 50, retryPause: 200, recoveryGrace: 2000, slowThreshold: 400,
	}).start();
	await elapse(timers, 700);
	t.deepEqual(describeServers(directory.all()), ['a', 'b']);

	list.isUnavailable = true;
	await elapse(timers, 3000);
	list.isUnavailable = false;
	list.servers = [sampleServer('b', 'large')];
	await elapse(timers, 1500);
	t.deepEqual(describeServers(directory.all()), ['a', 'b'], 'the entry may still return');
	await elapse(timers, 2000);
	t.deepEqual(describeServers(directory.all()), ['b']);
});
