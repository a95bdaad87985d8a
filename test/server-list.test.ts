import {Buffer} from 'node:buffer';
import test from 'ava';
import {PlatformServerDecoder} from '../platform/server-decoder.js';
import {StoreClient, type StoreRow} from '../platform/store-client.js';
import {StoreFeed} from '../platform/store-feed.js';
import {Metrics} from '../src/observation/metrics.js';
import {type BackendServer} from '../src/pipelines/backend-server.js';
import {ServerDirectory} from '../src/pipelines/server-directory.js';
import {ServerListReader} from '../src/pipelines/server-list-reader.js';
import {TableName} from '../src/replication/table-name.js';
import {TableSet} from '../src/replication/table-set.js';
import {TableWatcher} from '../src/replication/table-watcher.js';
import {type HttpClient, type PlatformResponse} from '../src/store/http-client.js';
import {PlatformError} from '../src/store/platform-error.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {createStoreAccess, RecordingLog} from './support/sample-fleet.js';

function row(key: string, transaction: number, state = 'ready'): StoreRow {
	const entry = {
		service: 'model', address: '10.0.0.1:8000', zone: 'zone-a', batchSlots: 4, state, born: 7,
	};
	return {
		tableName: 'servers', key, data: Buffer.from(JSON.stringify(entry)).toString('base64'), schemaVersion: transaction, deleted: false,
	};
}

/** Responses of the store, in order; an error stands for a call without a response. */
class ScriptedHttp {
	readonly calls: string[] = [];

	constructor(private readonly answers: Array<PlatformResponse | Error>) {}

	async send(_method: string, path: string): Promise<PlatformResponse> {
		const {pathname, searchParams} = new URL(path, 'http://store');
		this.calls.push(pathname === '/v1/rows-feed' ? `follow ${searchParams.get('after')}` : 'read');
		const answer = this.answers.shift() ?? new PlatformError('no answer', true);
		if (answer instanceof Error) {
			throw answer;
		}

		return answer;
	}
}

function respond(rows: readonly StoreRow[], transaction: number, {era, status = 200}: {era?: number; status?: number} = {}): PlatformResponse {
	return {status, headers: era === undefined ? {} : {'store-era': String(era)}, body: JSON.stringify({rows, schemaVersion: transaction})};
}

/** Reads the list of servers with the platform's adapter, on a manual clock. */
class ListFixture {
	readonly timers = new ManualTimerService();
	readonly log = new RecordingLog();
	readonly directory = new ServerDirectory(this.timers, new RecordingLog());
	readonly http: ScriptedHttp;

	constructor(answers: Array<PlatformResponse | Error>) {
		this.http = new ScriptedHttp(answers);
		const tables = new TableSet(new RecordingLog());
		const reader = new ServerListReader({
			decoder: new PlatformServerDecoder(), directory: this.directory, log: this.log, onRead() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		}, 2000);
		tables.onChange(TableName.Servers, table => {
			reader.update(table);
		});
		tables.onConfirmation(TableName.Servers, table => {
			reader.confirm(table);
		});
		new TableWatcher(TableName.Servers, {
			feed: new StoreFeed(new StoreClient(this.http as unknown as HttpClient), 'servers'), // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			tables, timers: this.timers, metrics: new Metrics(), log: new RecordingLog(), access: createStoreAccess(), mayRead: () => true, onChange() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		}, {
			wait: 500, pauseAfterCall: 50, slowThreshold: 400, idleInterval: 50,
		}).start();
	}

	get servers(): readonly string[] {
		return describeServers(this.directory.all());
	}

	/** Advances the time in steps of 50 ms and lets pending promises settle in between. */
	async elapse(milliseconds: number): Promise<void> {
		for (let passed = 0; passed < milliseconds; passed += 50) {
			for (let turn = 0; turn < 20; turn++) {
				await Promise.resolve(); // eslint-disable-line no-await-in-loop
			}

			this.timers.advance(50);
		}
	}
}

const describeServers = (servers: readonly BackendServer[]) => servers.map(({id, isLeaving}) => isLeaving ? `${id} leaving` : id).toSorted();
const historyGone = {status: 410};
const outage = () => new PlatformError('the store answered 503', false);

test('after the first reading only changes are read', async t => {
	const fixture = new ListFixture([
		respond([row('a', 1), row('b', 2)], 5),
		respond([row('a', 6, 'draining'), row('c', 7)], 7),
		respond([], 9),
		respond([{...row('a', 10), deleted: true, data: ''}], 10),
	]);
	await fixture.elapse(50);
	t.deepEqual(fixture.servers, ['a', 'b']);
	await fixture.elapse(50);
	t.deepEqual(fixture.servers, ['a leaving', 'b', 'c']);
	await fixture.elapse(50);
	t.deepEqual(fixture.servers, ['a leaving', 'b', 'c']);
	await fixture.elapse(50);
	t.deepEqual(fixture.servers, ['b', 'c']);
	t.deepEqual(fixture.http.calls.slice(0, 4), ['read', 'follow 5', 'follow 7', 'follow 9']);
});

test('the whole list is read again after the store discarded its history; after a failed call the changes are read from where they were', async t => {
	const fixture = new ListFixture([
		respond([row('a', 1), row('b', 2)], 5),
		respond([], 0, historyGone),
		respond([row('b', 2), row('c', 8)], 8),
		outage(),
		respond([{...row('b', 9), deleted: true, data: ''}], 9),
	]);
	await fixture.elapse(50);
	await fixture.elapse(50);
	t.deepEqual(fixture.servers, ['b', 'c'], 'the history was discarded');
	await fixture.elapse(400);
	t.deepEqual(fixture.http.calls.slice(0, 5), ['read', 'follow 5', 'read', 'follow 8', 'follow 8']);
});

test('an unreadable entry is skipped and logged once', async t => {
	const unreadable = {...row('x', 3), data: Buffer.from('{"state": 4}').toString('base64')};
	const fixture = new ListFixture([respond([row('a', 1), unreadable], 5), respond([], 0, historyGone), respond([row('a', 1), unreadable, row('b', 6)], 6)]);
	await fixture.elapse(150);
	t.deepEqual(fixture.servers, ['a', 'b']);
	t.is(fixture.log.lines.length, 1);
});

test('entries that expired while the store was unavailable are kept until the recovery grace is over', async t => {
	const ready = [row('a', 1), row('b', 2)];
	const fixture = new ListFixture([
		respond(ready, 2),
		outage(),
		outage(),
		respond([{...row('a', 3), deleted: true, data: ''}], 3),
		...Array.from({length: 60}, (_, index) => respond([], 4 + index)),
	]);
	await fixture.elapse(1500);
	t.deepEqual(fixture.servers, ['a', 'b'], 'the entry may still return');
	await fixture.elapse(2000);
	t.deepEqual(fixture.servers, ['b']);
});

test('a store that returned from an older copy: the whole list is read again, and numbers of another era are not compared', async t => {
	const fixture = new ListFixture([
		respond([row('a', 1), row('b', 9, 'draining')], 9, {era: 1}),
		respond([], 4, {era: 2}),
		respond([row('a', 1), row('b', 2), row('c', 4)], 4, {era: 2}),
		respond([row('d', 5)], 5, {era: 2}),
	]);
	await fixture.elapse(50);
	t.deepEqual(fixture.servers, ['a', 'b leaving']);
	await fixture.elapse(50);
	t.deepEqual(fixture.servers, ['a', 'b leaving', 'c'], 'a server that said that it leaves is not used again');
	await fixture.elapse(50);
	t.deepEqual(fixture.servers, ['a', 'b leaving', 'c', 'd']);
	t.deepEqual(fixture.http.calls.slice(0, 4), ['read', 'follow 9', 'read', 'follow 4']);
});

test('a late response of an earlier era is dropped', async t => {
	const fixture = new ListFixture([
		respond([row('a', 1)], 9, {era: 2}),
		respond([row('z', 10)], 10, {era: 1}),
		respond([row('b', 10)], 10, {era: 2}),
	]);
	await fixture.elapse(500);
	t.deepEqual(fixture.servers, ['a', 'b']);
});

const soundEntry = {
	service: 'model', address: '10.0.0.1:8000', zone: 'zone-a', batchSlots: 4, state: 'ready', born: 7,
};
const nested = (open: string, close: string, depth: number) => `${open.repeat(depth)}1${close.repeat(depth)}`;

/** A row of another writer, with any text. */
function oddRow(key: string, text: string | Uint8Array): StoreRow {
	return {...row(key, 3), data: Buffer.from(text).toString('base64')};
}

/** Returns the text of an entry in which the JSON of one field is replaced. */
function replaceField(name: string, json: string): string {
	const fields = Object.entries(soundEntry).filter(([field]) => field !== name).map(([field, value]) => `"${field}":${JSON.stringify(value)}`);
	return `{${[...fields, `"${name}":${json}`].join(',')}}`;
}

const unusableAddresses = ['10.0.0.1', '999.0.0.1:8000', '010.0.0.1:8000', '10.0.0:8000', '[::1]:8000', '::1', 'localhost:8000', ''];
const unusableEntries: ReadonlyArray<readonly [title: string, text: string | Uint8Array]> = [
	...['0', '65536', '99999', '99999999999999999999', 'http', '', '-1', '80.5'].map(port => [`port ${port}`, replaceField('address', `"10.0.0.1:${port}"`)] as const),
	...unusableAddresses.map(address => [`address ${address}`, replaceField('address', `"${address}"`)] as const),
	...['1e999', '9223372036854775808', '-4', '"4"', 'null', 'true', '[4]'].map(slots => [`slots ${slots}`, replaceField('batchSlots', slots)] as const),
	...['1e999', '9223372036854775808', '0.5', '"7"', 'null'].map(born => [`start ${born}`, replaceField('born', born)] as const),
	...['{"from":-1,"to":8}', '{"from":0,"to":1e999}', '{"from":0}', '[0,8]'].map(layers => [`layers ${layers}`, replaceField('layers', layers)] as const),
	...['service', 'zone', 'state', 'layers'].flatMap(name => [1000, 30_000, 500_000].map(depth => [`${name} nested ${depth} deep`, replaceField(name, nested('[', ']', depth))] as const)),
	['an array without an end', '['.repeat(1_000_000)],
	['objects nested deeply', nested('{"a":', '}', 150_000)],
	['bytes that are no text', Uint8Array.from([0xFF, 0xFE, 0x00, 0xC3, 0x28])],
	['only the key __proto__', `{"__proto__":${JSON.stringify(soundEntry)}}`],
	['an address with a line feed', replaceField('address', JSON.stringify('10.0.0.1:8000\n'))],
	['not a number', replaceField('batchSlots', 'NaN')],
];

// Guards against instances that end, or no longer follow the list, because another writer left an entry that names no server to use.
for (const [title, text] of unusableEntries) {
	test(`an entry that names no server is skipped, and the list is followed beside it: ${title}`, async t => {
		const odd = oddRow('x', text);
		const fixture = new ListFixture([respond([row('a', 1), odd], 5), respond([odd, row('b', 6)], 6), respond([{...row('a', 7), deleted: true, data: ''}], 7)]);
		await fixture.elapse(50);
		t.deepEqual(fixture.servers, ['a']);
		await fixture.elapse(50);
		t.deepEqual(fixture.servers, ['a', 'b']);
		await fixture.elapse(50);
		t.deepEqual(fixture.servers, ['b']);
	});
}

// Guards against requests that can't be encoded: the id is sent in a header, so one with other characters would end the process.
for (const id of ['a\nb', 'a\rb', 'a\0b', 'replica-\u{4E2D}', ' ', '']) {
	test(`an entry whose id can't be sent is skipped: ${JSON.stringify(id)}`, async t => {
		const fixture = new ListFixture([respond([row('a', 1), row(id, 2)], 5)]);
		await fixture.elapse(50);
		t.deepEqual(fixture.servers, ['a']);
	});
}

// Guards against a sound server that is lost because its id is special in JavaScript, or its entry has fields that nobody reads.
test('a server with an unusual id or further fields is used', async t => {
	const further = oddRow('b', replaceField('__proto__', nested('[', ']', 500_000)));
	const fixture = new ListFixture([respond([row('__proto__', 1), row('constructor', 2), further], 5)]);
	await fixture.elapse(50);
	t.deepEqual(fixture.servers, ['__proto__', 'b', 'constructor']);
});
