import {request as startRequest, type IncomingHttpHeaders} from 'node:http';
import test, {type ExecutionContext} from 'ava';
import {freePort} from '../harness/ports.js';
import {ActiveCatalog} from '../src/catalog/active-catalog.js';
import {EntryServer, type EntryServerDependencies} from '../src/entry/entry-server.js';
import {RequestAuthorizer} from '../src/entry/request-authorizer.js';
import {Lifecycle} from '../src/lifecycle.js';
import {Metrics} from '../src/observation/metrics.js';
import {type CallerReply} from '../src/relay/caller-reply.js';
import {type RelayRequest} from '../src/relay/relay-request.js';
import {type CurrencyReport} from '../src/replication/table-currency.js';
import {RandomSource} from '../src/routing/random-source.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {createCallerIntake} from './support/caller-intake.js';
import {RecordingLog} from './support/sample-fleet.js';
import {createCatalog, createRoute} from './support/sample-catalog.js';

const timers = new ClockTimerService();
/** Time in which a newer configuration arrives, well below the time for which a request waits for it. */
const transferMs = 100;

type Response = {
	readonly status: number | undefined;
	readonly headers: IncomingHttpHeaders;
};

/** An entry server with one route and one key, whose copy of the configuration may be out of date. */
class Entry {
	static async start(t: ExecutionContext): Promise<Entry> {
		const entry = new Entry(await freePort());
		await entry.server.listen('127.0.0.1', entry.port);
		t.teardown(() => {
			entry.server.stopListening();
		});
		return entry;
	}

	readonly server: EntryServer;
	currency: CurrencyReport = {isBehind: false, age: 100};
	private readonly catalog = new ActiveCatalog(new RecordingLog(), timers);

	private constructor(private readonly port: number) {
		this.catalog.apply(createCatalog(1, [createRoute('/old/')]), 'store');
		this.server = new EntryServer({ // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			intake: createCallerIntake(timers),
			authorizer: new RequestAuthorizer(this.catalog, new RandomSource(1)),
			catalogCurrency: {describe: () => this.currency},
			codec: {
				decodeRequest: ({headers}: {headers: IncomingHttpHeaders}) => ({
					id: 'r1', key: headers.key, timeout: 5000, promptParts: [], forwardedHeaders: [],
				}),
				encodeReplyHeaders: () => [],
			},
			exchanges: {
				start(_request: RelayRequest, reply: CallerReply) {
					reply.begin(200, ['Content-Length', '0']);
					reply.end();
				},
			},
			crashGuard: {check: () => undefined},
			lifecycle: new Lifecycle(),
			timers,
			metrics: new Metrics(),
			log: new RecordingLog(),
		} as unknown as EntryServerDependencies);
	}

	/** Activates a newer configuration, with a further route and other keys, as soon as it has been transferred. */
	receiveNewVersion(): void {
		this.currency = {isBehind: true, age: 100};
		timers.after(transferMs, () => {
			this.catalog.apply({...createCatalog(2, [createRoute('/old/'), createRoute('/new/')]), workspaces: [{name: 'team', keys: ['key-1', 'key-9']}]}, 'peer');
			this.currency = {isBehind: false, age: 0};
		});
	}

	async send(path: string, key = 'key-1'): Promise<Response> {
		return new Promise((resolve, reject) => {
			const request = startRequest({
				port: this.port, host: '127.0.0.1', path, headers: {host: 'site', key}, agent: false,
			}, response => {
				response.resume();
				resolve({status: response.statusCode, headers: response.headers});
			});
			request.once('error', reject);
			request.end();
		});
	}
}

// Guards against proper requests that are turned away for good by an instance which has heard of a newer configuration but does not have it yet.
test('a route or a key that only a newer configuration has, which is on its way, is not refused as unknown', async t => {
	const entry = await Entry.start(t);
	entry.receiveNewVersion();
	const responses = await Promise.all([entry.send('/new/a'), entry.send('/old/a', 'key-9')]);
	t.deepEqual(responses.map(({status}) => status), [200, 200]);
});

// Guards against the same refusal where the newer configuration does not arrive in time.
test('while a newer configuration does not arrive, an unknown route or key is refused as not run, to be tried again', async t => {
	const entry = await Entry.start(t);
	entry.currency = {isBehind: true, age: 100};
	const responses = await Promise.all([entry.send('/new/a'), entry.send('/old/a', 'key-9')]);
	t.deepEqual(responses.map(({status, headers}) => [status, Number(headers['retry-after']) > 0]), [[503, true], [503, true]]);
});

// Guards against an instance that is cut off and takes its old configuration for the one in force.
test('an instance whose configuration was not confirmed for long refuses an unknown route or key as not run', async t => {
	const entry = await Entry.start(t);
	entry.currency = {isBehind: false, age: 20_000};
	const responses = await Promise.all([entry.send('/new/a'), entry.send('/old/a', 'key-9')]);
	t.deepEqual(responses.map(({status}) => status), [503, 503]);
});

test('with a configuration that is current, an unknown route or key is refused at once; one that is behind still serves what it knows at once', async t => {
	const entry = await Entry.start(t);
	const startedAt = timers.now();
	const refused = await Promise.all([entry.send('/new/a'), entry.send('/old/a', 'key-9')]);
	t.deepEqual(refused.map(({status}) => status), [404, 401]);
	entry.currency = {isBehind: true, age: 20_000};
	const {status} = await entry.send('/old/a');
	t.is(status, 200);
	t.true(timers.now() - startedAt < 500);
});
