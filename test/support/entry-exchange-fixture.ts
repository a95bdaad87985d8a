import {request as startRequest, type ClientRequest} from 'node:http';
import {setImmediate} from 'node:timers/promises';
import {type ExecutionContext} from 'ava';
import {freePort} from '../../harness/ports.js';
import {sampleModel} from '../../harness/sample-model.js';
import {PlatformCodec} from '../../platform/platform-codec.js';
import {ActiveCatalog} from '../../src/catalog/active-catalog.js';
import {type Catalog} from '../../src/catalog/catalog.js';
import {RequestKind} from '../../src/catalog/request-kind.js';
import {type Route} from '../../src/catalog/route.js';
import {EntryServer, type EntryServerDependencies} from '../../src/entry/entry-server.js';
import {RequestAuthorizer} from '../../src/entry/request-authorizer.js';
import {Lifecycle} from '../../src/lifecycle.js';
import {Metrics} from '../../src/observation/metrics.js';
import {PlainServerSelector} from '../../src/pipelines/plain-server-selector.js';
import {type Pipeline} from '../../src/pipelines/pipeline.js';
import {type PipelineSelector} from '../../src/pipelines/pipeline-selector.js';
import {ExchangeRegistry} from '../../src/relay/exchange-registry.js';
import {RequestQueue} from '../../src/relay/request-queue.js';
import {type CurrencyReport} from '../../src/replication/table-currency.js';
import {RandomSource} from '../../src/routing/random-source.js';
import {ClockTimerService} from '../../src/time/clock-timer-service.js';
import {createCallerIntake} from './caller-intake.js';
import {ExchangeFixture} from './exchange-fixture.js';
import {createCatalog, createRoute} from './sample-catalog.js';
import {sampleServer} from './sample-fleet.js';
import {seed} from './seed.js';

/** Timeout of the routes, in milliseconds. */
export const routeTimeout = 5000;
/** Path prefixes of the routes of each kind. */
export const lookups = '/lookups/';
export const records = '/records/';
export const drafts = '/drafts/';
/** Time that an assertion waits, in milliseconds. */
const maxWaitMs = 5000;
const range = {from: 0, to: 80};

/** Creates the routes, with changes to all of them. */
export function createRoutes(changes: Partial<Route> = {}): readonly Route[] {
	const route = {timeout: routeTimeout, latencyTarget: 500, ...changes};
	return [
		createRoute(lookups, route),
		createRoute(records, {kind: RequestKind.NonIdempotent, maxExecutions: 1, ...route}),
		createRoute(drafts, {
			kind: RequestKind.Streaming, isResumable: true, targets: [{service: 'model', weight: 1}], ...route,
		}),
	];
}

/** What a caller received. */
export type Received = {
	readonly status: number;
	readonly text: string;
};

/** A call, the rest of whose body the test sends. */
export type Upload = {
	readonly request: ClientRequest;
	readonly received: Promise<Received>;
};

/** The entry server of an instance with its exchanges, whose time and backend servers the test provides. */
export class EntryExchangeFixture extends ExchangeFixture {
	static async start(t: ExecutionContext): Promise<EntryExchangeFixture> {
		const fixture = new EntryExchangeFixture(await freePort());
		fixture.apply(createCatalog(1, createRoutes()));
		await fixture.server.listen('127.0.0.1', fixture.port);
		t.teardown(() => {
			fixture.server.stopListening();
			for (const {request} of fixture.uploads) {
				request.destroy();
			}
		});
		return fixture;
	}

	readonly activeCatalog = new ActiveCatalog(this.log, this.timers);
	readonly server: EntryServer;
	readonly exchanges: ExchangeRegistry;
	/** How current the instance says that its configuration is. */
	currency: CurrencyReport = {isBehind: false, age: 0};
	/** The pipeline of all streams; without one they are queued. */
	pipeline?: Pipeline = [{server: sampleServer('first', 'large', range), range}];
	private readonly clock = new ClockTimerService();
	private readonly uploads: Upload[] = [];

	private constructor(readonly port: number) {
		super();
		const {directory, serverHealth, backpressure, load, timers, log, activeCatalog} = this;
		const random = new RandomSource(seed());
		directory.applyReading({servers: ['a', 'b'].map(service => sampleServer(service, '', undefined, {service})), requestedAt: 0, mayBeIncomplete: false});
		this.exchanges = new ExchangeRegistry(this.dependencies, {
			selector: new PlainServerSelector({
				directory, serverHealth, backpressure, load, random,
			}),
			computeConnectionShare: connections => connections,
			limits: {maxBufferedBytes: 1000, responseTimeoutFraction: 0.8},
		}, {
			selector: { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
				select: () => this.pipeline,
				selectBusy: () => undefined,
			} as unknown as PipelineSelector,
			answers: this.answers,
			requestQueue: new RequestQueue(timers, {capacity: 10, dispatchInterval: 40}),
			limits: {
				maxRejections: 6, lateRejectionThreshold: 1000, onTimeFraction: 0.75, maxQueueTime: 1100, resumeWaitFraction: 0.9, retryAfter: 1000,
			},
			onRejection() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			onSuspicion() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		});
		this.server = new EntryServer({ // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			intake: createCallerIntake(timers),
			authorizer: new RequestAuthorizer(activeCatalog, random),
			catalogCurrency: {describe: () => this.currency},
			codec: new PlatformCodec(),
			exchanges: this.exchanges,
			crashGuard: {check() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
			lifecycle: new Lifecycle(),
			timers,
			metrics: new Metrics(),
			log,
		} as unknown as EntryServerDependencies);
		activeCatalog.onChange(({limits}) => {
			this.server.setLimits(limits);
		});
	}

	/** Applies a configuration to which the service of the model, the connections of all services, and limits that allow the uploads of tests, are added. */
	apply(catalog: Catalog, maxConnections = 100): void {
		const model = {name: 'model', healthPath: '/healthz', engine: sampleModel};
		const services = [...catalog.services.values(), model].map(service => ({...service, maxConnections}));
		this.activeCatalog.apply({
			...catalog,
			services: new Map(services.map(service => [service.name, service])),
			limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: 10_000, headerTimeout: 3000, idleTimeout: 15_000,
			},
		}, 'test');
	}

	/**
	Sends the head of a request.

	@param patience - milliseconds for which the caller says that it waits; undefined to say nothing
	*/
	upload(path: string, patience?: number): Upload {
		const request = startRequest({
			port: this.port,
			host: '127.0.0.1',
			method: 'POST',
			path,
			headers: {
				host: 'site',
				'x-api-key': 'key-1',
				'siskinnotch-attempt-id': `upload-${this.uploads.length}`,
				'siskinnotch-token-usage': '100,50',
				...(patience !== undefined && {'siskinnotch-deadline-remaining': String(patience)}),
			},
		});
		const received = new Promise<Received>((resolve, reject) => {
			request.once('error', reject);
			request.once('response', response => {
				void (async () => {
					let text = '';
					for await (const chunk of response) {
						text += String(chunk);
					}

					resolve({status: response.statusCode!, text});
				})();
			});
		});
		request.flushHeaders();
		const upload = {request, received};
		this.uploads.push(upload);
		return upload;
	}

	/** Waits until a condition holds; rejects if it takes too long. */
	async waitUntil(isMet: () => boolean): Promise<void> {
		const limit = this.clock.now() + maxWaitMs;
		while (!isMet()) {
			if (this.clock.now() > limit) {
				throw new Error('the condition does not hold');
			}

			await setImmediate(); // eslint-disable-line no-await-in-loop
		}
	}

	/** Waits for the reply to a request; rejects if it takes too long. */
	async receive({received}: Upload): Promise<Received> {
		return this.clock.withTimeout(received, maxWaitMs, () => new Error('no reply was received'));
	}

	/** Returns the replies to all requests, by path, in the order in which the requests were sent. */
	async receiveAll(): Promise<ReadonlyMap<string, Received>> {
		return new Map(await Promise.all(this.uploads.map(async upload => [upload.request.path, await this.receive(upload)] as const)));
	}

	/** Lets the process handle what has arrived. */
	async turn(): Promise<void> {
		await setImmediate();
	}

	/** Waits until a number of requests are being received or authorized. */
	async waitForPending(count: number): Promise<void> {
		await this.waitUntil(() => this.server.pendingRequests === count);
	}

	/** Sends a whole request, and waits until its exchange has started. */
	async send(path: string, patience?: number): Promise<Upload> {
		const {size} = this.exchanges;
		const upload = this.upload(path, patience);
		upload.request.end('prompt');
		await this.waitUntil(() => this.exchanges.size > size);
		return upload;
	}
}
