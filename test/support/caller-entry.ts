import {request as startRequest, type IncomingHttpHeaders} from 'node:http';
import {setImmediate} from 'node:timers/promises';
import {InMemorySpanExporter} from '@opentelemetry/sdk-trace-base';
import {type ExecutionContext} from 'ava';
import {freePort} from '../../harness/ports.js';
import {getApiKey, writeSheet} from '../../harness/sheet-text.js';
import {ActionExecutor} from '../../src/actions/action-executor.js';
import {FinishReason} from '../../src/backends/finish-reason.js';
import {CallerAuthenticator} from '../../src/callers/caller-authenticator.js';
import {type CallerDependencies} from '../../src/callers/caller-dependencies.js';
import {CallerInterface} from '../../src/callers/caller-interface.js';
import {ActiveConfiguration, emptyConfiguration} from '../../src/configuration/active-configuration.js';
import {ConfigurationFreshness} from '../../src/configuration/configuration-freshness.js';
import {ConfigurationStore} from '../../src/configuration/configuration-store.js';
import {type ConfigurationUpdate} from '../../src/configuration/configuration-update.js';
import {ConfigurationWatcher} from '../../src/configuration/configuration-watcher.js';
import {computeDifference} from '../../src/configuration/sheet-difference.js';
import {parseSheet} from '../../src/configuration/sheet-parser.js';
import {SheetSubmissionService} from '../../src/configuration/sheet-submission-service.js';
import {VersionPropagator} from '../../src/configuration/version-propagator.js';
import {type CompletionSink} from '../../src/completions/completion-sink.js';
import {Lifecycle} from '../../src/lifecycle.js';
import {Membership} from '../../src/membership/membership.js';
import {Invariants} from '../../src/observation/invariants.js';
import {Metrics} from '../../src/observation/metrics.js';
import {Tracing} from '../../src/observation/tracing.js';
import {PeerRequestHandler} from '../../src/peers/peer-request-handler.js';
import {Peers} from '../../src/peers/peers.js';
import {type ProbeMessage} from '../../src/peers/probe-message.js';
import {Fleet} from '../../src/routing/fleet.js';
import {RandomSource} from '../../src/routing/random-source.js';
import {ManualTimerService} from '../../src/time/manual-timer-service.js';
import {createCallerIntake} from './caller-intake.js';
import {FakeTable} from './fake-table.js';
import {silentLog} from './silent-log.js';

const maxConfirmationAgeMs = 5000;
const workspace = {
	share: 10, tokens: 1000, streams: 2, isGranted: true,
};

/** Creates a sheet with services, a workspace that may use them, one that may or may not, and further ones that may. */
function createSheet(isOutsiderGranted: boolean, ...added: readonly string[]) {
	return parseSheet(writeSheet([
		{...workspace, name: 'insider'},
		{...workspace, name: 'outsider', isGranted: isOutsiderGranted},
		...added.map(name => ({...workspace, name})),
	])).sheet!;
}

/** The sheet that an instance has read from the table. */
export const oldSheet = createSheet(false);
/** Grants the services to `outsider` and adds the workspace `later`. */
export const newSheet = createSheet(true, 'later');

/** The only other instance. It knows of a newer sheet or not, as a test prescribes, and is reached at each probe. */
export class OtherInstance extends Peers {
	version = 1;
	tableAge = -1;
	fetch: () => Promise<ConfigurationUpdate> = async () => {
		throw new Error('the connection was reset');
	};

	* addresses(): Iterable<string> {
		yield 'other';
	}

	async probe(): Promise<ProbeMessage> {
		return this.createMessage();
	}

	async probeThrough(): Promise<boolean> {
		return true;
	}

	async fetchUpdate(): Promise<ConfigurationUpdate | undefined> {
		return this.fetch();
	}

	async fetchListing(): Promise<readonly never[]> {
		return [];
	}

	async announce(): Promise<number> {
		return this.version;
	}

	createMessage(): ProbeMessage {
		return {
			from: 'other', address: 'other', version: this.version, tableAge: this.tableAge, rumors: [],
		};
	}
}

/** Has the workspace `outsider` only. */
export const sheetWithoutInsider = parseSheet(writeSheet([{...workspace, name: 'outsider'}])).sheet!;

/** What a call received. */
export type Response = {
	readonly status: number | undefined;
	readonly headers: IncomingHttpHeaders;
};

/** A call of the caller interface. */
export type Call = {
	readonly path: string;
	/** Whose key is sent. */
	readonly workspace: string;
	/** Sent with POST; without a body, GET is used. */
	readonly body?: string;
	/** Milliseconds that the caller allows; undefined to say nothing. */
	readonly allowed?: number;
	/** Called between the headers and the body. */
	beforeBody?(): Promise<void>;
};

const draft = {model: 'findings', messages: [{role: 'user', content: 'x'}]};
/** Calls that the old sheet does not allow, the first three of which the new one allows, and their final statuses. */
export const calls: ReadonlyArray<[call: Call, status: number]> = [
	[{path: 'models', workspace: 'later'}, 401],
	[{path: 'chat/completions', workspace: 'outsider', body: JSON.stringify(draft)}, 403],
	[{path: 'services/records/site-history', workspace: 'outsider', body: '{}'}, 403],
	[{path: 'chat/completions', workspace: 'insider', body: JSON.stringify({...draft, model: 'poems'})}, 404],
	[{path: 'services/records/burn', workspace: 'insider', body: '{}'}, 404],
	[{path: 'actions/none', workspace: 'insider'}, 404],
];

/** The caller interface of an instance that has read the old sheet from the table, and the parts that keep its configuration up to date. */
export class CallerEntry {
	static async start(t: ExecutionContext): Promise<CallerEntry> {
		const entry = new CallerEntry(await freePort());
		await entry.accept(1, oldSheet);
		await entry.watcher.poll();
		await entry.callers.listen('127.0.0.1', entry.port);
		t.teardown(async () => {
			entry.callers.stopListening();
			entry.callers.close();
			await entry.tracing.close();
		});
		return entry;
	}

	readonly timers = new ManualTimerService();
	readonly table = new FakeTable();
	readonly other = new OtherInstance();
	readonly watcher: ConfigurationWatcher;
	readonly handler: PeerRequestHandler;
	readonly submissions: SheetSubmissionService;
	readonly callers: CallerInterface;
	readonly lifecycle = new Lifecycle();
	/** Body of the response to a call of a plain service. */
	plainAnswer = '{}';
	/** Number of completions and calls of plain services that were started. */
	startedRequests = 0;
	private readonly store = new ConfigurationStore(this.table);
	private readonly tracing = new Tracing(new InMemorySpanExporter(), 0);

	private constructor(readonly port: number) {
		const {timers, table, other, store, tracing} = this;
		const invariants = new Invariants();
		const metrics = new Metrics();
		const activeConfiguration = new ActiveConfiguration(invariants);
		const freshness = new ConfigurationFreshness(maxConfirmationAgeMs);
		const membership = new Membership('self', 5000, new RandomSource(1));
		membership.applyList(new Map([['self', 'self'], ['other', 'other']]), 0);
		this.watcher = new ConfigurationWatcher({
			store, activeConfiguration, freshness, peers: other, timers, random: new RandomSource(1), metrics, log: silentLog,
		});
		this.handler = new PeerRequestHandler({
			self: {id: 'self', address: 'self'}, membership, peers: other, configurationWatcher: this.watcher, activeConfiguration, fleet: new Fleet(), timers,
		});
		this.submissions = new SheetSubmissionService(store, activeConfiguration, new VersionPropagator(other, timers), timers);
		this.callers = new CallerInterface({maxBodyBytes: 10_000, headersTimeoutMs: 5000, maxDeadlineMs: 5000}, { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			authenticator: new CallerAuthenticator(activeConfiguration, freshness, () => ({
				peerCount: membership.all().length, aliveCount: membership.countAlive(), lastContactAt: membership.getLastAcknowledgedAt(),
			}), timers),
			intake: createCallerIntake(timers),
			completions: {
				start: (_request: unknown, sink: CompletionSink) => {
					this.startedRequests++;
					sink.onFinish(FinishReason.Stop);
				},
			},
			plainDispatcher: {
				dispatch: async () => {
					this.startedRequests++;
					return {status: 200, contentType: 'application/json', body: this.plainAnswer};
				},
			},
			actionExecutor: new ActionExecutor(table, timers, 'self', silentLog),
			timers, tracing, metrics, invariants, lifecycle: this.lifecycle, log: silentLog,
		} as unknown as CallerDependencies);
	}

	/** Writes a sheet to the table, as another instance does that accepts it. */
	async accept(version: number, sheet = newSheet): Promise<void> {
		const base = version === 1 ? emptyConfiguration.sheet : oldSheet;
		await this.store.writeVersion({
			version, digest: sheet.digest, submission: `s${version}`, planner: 'other', at: 0, difference: computeDifference(base, sheet),
		}, sheet);
	}

	/** Waits until a number of requests have arrived and are not finished. */
	async waitForRequests(count: number): Promise<void> {
		while (this.callers.inFlight < count) {
			await setImmediate(); // eslint-disable-line no-await-in-loop
		}
	}

	/** Sends a call. */
	async send({path, workspace: name, body, allowed, beforeBody}: Call): Promise<Response> {
		return new Promise((resolve, reject) => {
			const request = startRequest({
				port: this.port,
				host: '127.0.0.1',
				method: body === undefined ? 'GET' : 'POST',
				path: `/v1/${path}`,
				headers: {authorization: `Bearer ${getApiKey(name)}`, ...(allowed !== undefined && {'x-deadline-ms': String(allowed)})},
				agent: false,
			}, response => {
				response.resume();
				resolve({status: response.statusCode, headers: response.headers});
			});
			request.once('error', reject);
			request.flushHeaders();
			void (async () => {
				await beforeBody?.();
				request.end(body);
			})();
		});
	}

	/** Sends the calls that the old sheet does not allow. */
	async sendAll(): Promise<readonly Response[]> {
		return Promise.all(calls.map(async ([call]) => this.send(call)));
	}

	/** Checks that each call is refused as not run, to be tried again, and that one that the old sheet allows is served. */
	async checkRefusesNoneForGood(t: ExecutionContext): Promise<void> {
		const responses = await this.sendAll();
		t.deepEqual(responses.map(({status, headers}) => [status, headers['x-execution'], Number(headers['retry-after']) > 0]), calls.map(() => [503, 'not_run', true]));
		const served = await this.send({path: 'models', workspace: 'insider'});
		t.is(served.status, 200);
	}
}
