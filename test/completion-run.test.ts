import {
	ROOT_CONTEXT, type Attributes, type Context, type Span,
} from '@opentelemetry/api';
import {InMemorySpanExporter} from '@opentelemetry/sdk-trace-base';
import test from 'ava';
import {type AttemptHandle} from '../src/backends/attempt-handle.js';
import {type AttemptSink} from '../src/backends/attempt-sink.js';
import {type Attempt} from '../src/backends/attempt.js';
import {type CacheEvent} from '../src/backends/cache-event.js';
import {FinishReason} from '../src/backends/finish-reason.js';
import {type LoadReport} from '../src/backends/load-report.js';
import {ModelEngine} from '../src/backends/model-engine.js';
import {type Stage} from '../src/backends/stage.js';
import {type StageStatus} from '../src/backends/stage-status.js';
import {CompletionRun} from '../src/completions/completion-run.js';
import {Priority} from '../src/configuration/priority.js';
import {RowKind} from '../src/configuration/row-kind.js';
import {Metrics} from '../src/observation/metrics.js';
import {Tracing} from '../src/observation/tracing.js';
import {Fleet} from '../src/routing/fleet.js';
import {StreamEventKind} from '../src/routing/stream-event.js';
import {StreamRecovery} from '../src/routing/stream-recovery.js';
import {InstanceRole} from '../src/store/instance-role.js';
import {InstanceState} from '../src/store/instance-state.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {createFrame, createStatus, options} from './support/recovery-fixture.js';
import {silentLog} from './support/silent-log.js';

/** Counts the spans that have started and not ended. */
class SpanCounter extends Tracing {
	open = 0;

	override startSpan(name: string, attributes?: Attributes, parent?: Context): Span {
		const span = super.startSpan(name, attributes, parent);
		this.open++;
		const end = span.end.bind(span);
		span.end = time => {
			this.open--;
			end(time);
		};

		return span;
	}
}

/** Records the attempts that it runs; the server b1 never responds to an inspection. */
class RecordingEngine extends ModelEngine {
	readonly sinks: AttemptSink[] = [];
	readonly started: Attempt[] = [];
	readonly cancelled: number[] = [];
	/** Numbers of the attempts whose connection was closed by the router. */
	readonly closed: number[] = [];

	run(attempt: Attempt, sink: AttemptSink): AttemptHandle {
		this.started.push(attempt);
		this.sinks.push(sink);
		return {
			close: () => {
				this.closed.push(attempt.number);
			},
		};
	}

	attach(): AttemptHandle {
		throw new Error('no attempt is attached to in these tests');
	}

	async cancel({number}: Attempt): Promise<void> {
		this.cancelled.push(number);
	}

	async inspect(_request: string, _attempt: number, {server}: Stage): Promise<StageStatus | undefined> {
		return server === 'b1' ? undefined : createStatus(1, 1);
	}

	async readCacheEvents(): Promise<readonly CacheEvent[]> {
		return [];
	}

	async readLoad(): Promise<LoadReport> {
		throw new Error('no load is read in these tests');
	}

	async sendOrder(): Promise<boolean> {
		return false;
	}

	async readState(): Promise<undefined> {
		return undefined;
	}

	async copyCache(): Promise<number> {
		return 0;
	}
}

function createFleet(): Fleet {
	const fleet = new Fleet();
	fleet.update(['a1', 'a2', 'b1', 'b2'].map(id => ({
		id, role: InstanceRole.Engine, state: InstanceState.Live, address: id, zone: 'z', service: 's', version: 'v1', firstLayer: 0, endLayer: 2, accelerator: '', tokenRate: 1000,
	})));
	return fleet;
}

class RunFixture {
	readonly engine = new RecordingEngine();
	readonly fleet = createFleet();
	readonly tracing = new SpanCounter(new InMemorySpanExporter(), 1);
	readonly tokens: string[] = [];
	readonly ends: string[] = [];
	readonly run: CompletionRun;
	private readonly timers = new ManualTimerService();

	constructor() {
		const request = {
			id: 'r',
			workspace: {
				kind: RowKind.Workspace as const, name: 'w', priority: Priority.Normal, share: 10, tokensPerMinute: 1000, concurrentStreams: 10, keyDigest: '',
			},
			service: {
				kind: RowKind.Service as const, name: 's', model: 's', version: 'v1', layers: 4, checksOrders: true,
			},
			prompt: 'p',
			promptTokens: 1,
			maximumTokens: 10,
			priority: Priority.Normal,
			deadline: 60_000,
			context: ROOT_CONTEXT,
		};
		const dependencies = {
			engine: this.engine, fleet: this.fleet, timers: this.timers, tracing: this.tracing, metrics: new Metrics(), log: silentLog, inspectionTimeout: 150,
		};
		this.run = new CompletionRun(request, new StreamRecovery(options, 0), dependencies, {
			onTokens: tokens => {
				this.tokens.push(...tokens);
			},
			onFinish: reason => {
				this.ends.push(reason);
			},
			onFail: ({code}) => {
				this.ends.push(String(code));
			},
		});
	}

	/** Running requests on a1, a2, b1 and b2 as the fleet counts them. */
	get load(): readonly number[] {
		return ['a1', 'a2', 'b1', 'b2'].map(id => this.fleet.findServer(id)!.ownRunning);
	}

	/** Starts the first attempt, which delivers a token and falls silent, and the second one beside it. */
	async startBoth(): Promise<void> {
		this.run.dispatch({kind: StreamEventKind.Begin});
		this.engine.sinks[0].onFrames([createFrame(1, 0)]);
		this.timers.advance(320);
		this.run.dispatch({kind: StreamEventKind.Tick});
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

// Guards against load and spans that are counted for ever or twice when two attempts of a request run.
test('two attempts run at once: whichever goes on, each is ended once, and the tokens so far are passed to the second', async t => {
	for (const winner of [1, 2]) {
		const fixture = new RunFixture();
		await fixture.startBoth(); // eslint-disable-line no-await-in-loop
		t.deepEqual(fixture.load, [2, 0, 1, 1]);
		t.deepEqual(fixture.engine.started.map(({generated}) => generated), [[], ['t0']]);
		t.deepEqual(fixture.engine.cancelled, []);
		fixture.engine.sinks[winner - 1].onFrames([createFrame(winner, 1)]);
		t.deepEqual(fixture.engine.cancelled, [3 - winner]);
		t.deepEqual(fixture.load, winner === 1 ? [1, 0, 1, 0] : [1, 0, 0, 1]);
		fixture.engine.sinks[2 - winner].onFrames([createFrame(3 - winner, 1)]);
		fixture.engine.sinks[winner - 1].onFrames([createFrame(winner, 2, {finish: FinishReason.Stop})]);
		t.deepEqual(fixture.tokens, ['t0', 't1', 't2']);
		t.deepEqual(fixture.ends, [FinishReason.Stop]);
		t.deepEqual(fixture.engine.closed, [3 - winner, winner]);
		t.deepEqual(fixture.load, [0, 0, 0, 0]);
		t.is(fixture.tracing.open, 0);
	}
});

// Guards against an attempt whose load remains when its answer ends together with another attempt's first token.
test('the first frame of one attempt completes the answer: both are ended once', async t => {
	const fixture = new RunFixture();
	await fixture.startBoth();
	fixture.engine.sinks[1].onFrames([createFrame(2, 1, {finish: FinishReason.Stop})]);
	t.deepEqual(fixture.engine.cancelled, [1]);
	t.deepEqual(fixture.engine.closed, [1, 2]);
	t.deepEqual(fixture.load, [0, 0, 0, 0]);
	t.is(fixture.tracing.open, 0);
});

// Guards against engines that go on working for a caller who left.
test('the caller leaves while two attempts run: both are cancelled and ended once', async t => {
	const fixture = new RunFixture();
	await fixture.startBoth();
	fixture.run.dispatch({kind: StreamEventKind.CallerGone});
	t.deepEqual(fixture.engine.cancelled, [1, 2]);
	t.deepEqual(fixture.engine.closed, [1, 2]);
	t.deepEqual(fixture.load, [0, 0, 0, 0]);
	t.is(fixture.tracing.open, 0);
});

// Guards against a refusal that ends the attempt which is kept.
test('the second attempt is refused: only it is ended, and the first one completes the answer', async t => {
	const fixture = new RunFixture();
	await fixture.startBoth();
	fixture.engine.sinks[1].onClosed('Response code 503');
	t.deepEqual(fixture.engine.cancelled, [2]);
	t.deepEqual(fixture.load, [1, 0, 1, 0]);
	fixture.engine.sinks[0].onFrames([createFrame(1, 1, {finish: FinishReason.Stop})]);
	t.deepEqual(fixture.tokens, ['t0', 't1']);
	t.deepEqual(fixture.load, [0, 0, 0, 0]);
	t.is(fixture.tracing.open, 0);
});
