import test from 'ava';
import fc from 'fast-check';
import {FinishReason} from '../src/backends/finish-reason.js';
import {type Frame} from '../src/backends/frame.js';
import {type StageStatus} from '../src/backends/stage-status.js';
import {type Route} from '../src/backends/stage.js';
import {Execution} from '../src/results/execution.js';
import {ResultCode} from '../src/results/result-code.js';
import {type StreamCommand, StreamCommandKind} from '../src/routing/stream-command.js';
import {type StreamEvent, StreamEventKind} from '../src/routing/stream-event.js';
import {StreamRecovery} from '../src/routing/stream-recovery.js';
import {type StreamRecoveryOptions} from '../src/routing/stream-recovery-options.js';
import {seed} from './support/seed.js';

const layers = 4;

function routeOf(names: readonly string[]): Route {
	return names.map((server, index) => ({
		server, address: server, firstLayer: index * 2, endLayer: (index * 2) + 2, version: 'v1',
	}));
}

function plan(excluded: ReadonlySet<string>): Route | undefined {
	const first = ['a1', 'a2'].find(name => !excluded.has(name));
	const second = ['b1', 'b2'].find(name => !excluded.has(name));
	return first && second ? routeOf([first, second]) : undefined;
}

const terms: StreamRecoveryOptions = {
	layers, stallTimeout: 300, firstTokenTimeout: 640, slowTokenGap: 72, deadline: 60_000, findRoute: plan, getRetryDelay: () => 100, tryAcquireRetry: () => true,
};

function frame(attempt: number, index: number, changes: Partial<Frame> = {}): Frame {
	return {
		attempt,
		index,
		text: `t${index}`,
		receipts: [
			{
				stage: 0, firstLayer: 0, endLayer: 2, version: 'v1',
			},
			{
				stage: 1, firstLayer: 2, endLayer: 4, version: 'v1',
			},
		],
		...changes,
	};
}

const status = (received: number, forwarded: number, emitted = 0): StageStatus => ({
	isKnown: true, received, forwarded, emitted,
});

function begun(changes: Partial<StreamRecoveryOptions> = {}): StreamRecovery {
	const recovery = new StreamRecovery({...terms, ...changes}, 0);
	recovery.handle({kind: StreamEventKind.Begin}, 0);
	return recovery;
}

function kindsOf(commands: readonly StreamCommand[]): readonly StreamCommandKind[] {
	return commands.map(({kind}) => kind);
}

function routeIn(commands: readonly StreamCommand[]): readonly string[] {
	const run = commands.find(command => command.kind === StreamCommandKind.Run);
	return run?.route.map(({server}) => server) ?? [];
}

function connectionIn(commands: readonly StreamCommand[]): number {
	const run = commands.find(command => command.kind === StreamCommandKind.Run);
	return run?.connection ?? 0;
}

test('a server without an answer is replaced and the others are kept', t => {
	const recovery = begun();
	recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [frame(1, 0)]}, 10);
	t.deepEqual(kindsOf(recovery.handle({kind: StreamEventKind.Closed, connection: 1, reason: 'reset'}, 20)), [StreamCommandKind.Inspect]);
	const commands = recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses: [status(1, 1), undefined]}, 30);
	t.deepEqual(kindsOf(commands), [StreamCommandKind.Suspect, StreamCommandKind.Cancel, StreamCommandKind.Run]);
	t.deepEqual(routeIn(commands), ['a1', 'b2']);
});

test('a silent connection is replaced alone, and no server is blamed', t => {
	const recovery = begun();
	recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [frame(1, 0)]}, 10);
	t.deepEqual(kindsOf(recovery.handle({kind: StreamEventKind.Tick}, 320)), [StreamCommandKind.Inspect]);
	const commands = recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses: [status(5, 5), status(5, 5, 5)]}, 330);
	t.deepEqual(kindsOf(commands), [StreamCommandKind.Attach]);
	// The stages are done, so nothing moves any more; the new connection may fall silent too.
	recovery.handle({kind: StreamEventKind.Tick}, 1000);
	const again = recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses: [status(5, 5), status(5, 5, 5)]}, 1010);
	t.deepEqual(kindsOf(again), [StreamCommandKind.Attach]);
});

test('a slow stage is waited for, a stuck one is replaced', t => {
	const recovery = begun();
	recovery.handle({kind: StreamEventKind.Tick}, 700);
	const slow = recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses: [status(1, 1), status(1, 0)]}, 710);
	t.false(kindsOf(slow).includes(StreamCommandKind.Run));
	recovery.handle({kind: StreamEventKind.Tick}, 2000);
	const stuck = recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses: [status(1, 1), status(1, 0)]}, 2010);
	t.deepEqual(routeIn(stuck), ['a1', 'b2']);
});

test('a stream that runs at a fraction of its pace leaves both ends of the slow link, and no server is suspected', t => {
	const recovery = begun();
	let now = 0;
	let looks: readonly StreamCommand[] = [];
	for (let index = 0; index < 40 && looks.length === 0; index++) {
		now += index < 20 ? 12 : 120;
		const commands = recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [frame(1, index)]}, now);
		looks = commands.filter(({kind}) => kind === StreamCommandKind.Inspect);
	}

	t.is(looks.length, 1);
	const commands = recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses: [status(30, 30), status(29, 29, recovery.delivered)]}, now + 5);
	t.deepEqual(kindsOf(commands), [StreamCommandKind.Cancel, StreamCommandKind.Run]);
	t.deepEqual(routeIn(commands), ['a2', 'b2']);
});

test('a batch that is lost on a link is looked for again soon, and both ends are left', t => {
	const recovery = begun();
	recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [frame(1, 0)]}, 0);
	recovery.handle({kind: StreamEventKind.Tick}, 310);
	const statuses = [status(2, 2), status(1, 1, 1)];
	recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses}, 320);
	t.deepEqual(kindsOf(recovery.handle({kind: StreamEventKind.Tick}, 480)), [StreamCommandKind.Inspect]);
	t.deepEqual(routeIn(recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses}, 490)), ['a2', 'b2']);
});

test('a stage that changed its version is replaced, and its token is not let through', t => {
	const recovery = begun();
	const wrong = frame(1, 0);
	const commands = recovery.handle({
		kind: StreamEventKind.Frames,
		connection: 1,
		frames: [{...wrong, receipts: [wrong.receipts[0], {...wrong.receipts[1], version: 'v2'}]}],
	}, 10);
	t.is(recovery.delivered, 0);
	t.deepEqual(routeIn(commands), ['a1', 'b2']);
});

test('late frames of an old attempt are dropped', t => {
	const recovery = begun();
	recovery.handle({
		kind: StreamEventKind.Closed, connection: 1, reason: 'stage lost', unreachableServer: 'a1',
	}, 10);
	t.deepEqual(recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [frame(1, 0)]}, 20), []);
	recovery.handle({kind: StreamEventKind.Frames, connection: 2, frames: [frame(1, 0)]}, 20);
	t.is(recovery.delivered, 0);
});

test('a spent retry budget ends the stream at once, with an explicit failure', t => {
	const recovery = begun({tryAcquireRetry: () => false});
	recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [frame(1, 0)]}, 10);
	const first = recovery.handle({
		kind: StreamEventKind.Closed, connection: 1, reason: 'stage lost', unreachableServer: 'a1',
	}, 10);
	t.deepEqual(routeIn(first), ['a2', 'b1'], 'the first retry only moves the work');
	const commands = recovery.handle({
		kind: StreamEventKind.Closed, connection: connectionIn(first), reason: 'stage lost', unreachableServer: 'b1',
	}, 20);
	const failure = commands.find(command => command.kind === StreamCommandKind.Fail)?.failure;
	t.is(failure?.code, ResultCode.StreamInterrupted);
	t.is(failure?.execution, Execution.Unknown);
});

test('without a pipeline the request is given up as not run', t => {
	const recovery = begun({findRoute: () => undefined});
	const commands = recovery.handle({kind: StreamEventKind.Tick}, 2000);
	const failure = commands.find(command => command.kind === StreamCommandKind.Fail)?.failure;
	t.is(failure?.code, ResultCode.NoPipeline);
	t.is(failure?.execution, Execution.NotRun);
	t.true((failure?.retryAfterSeconds ?? 0) > 0);
});

test('retries after the first wait a random pause', t => {
	const recovery = begun();
	const lose = (connection: number, serverAtFault: string, now: number) => recovery.handle({
		kind: StreamEventKind.Closed, connection, reason: 'stage lost', unreachableServer: serverAtFault,
	}, now);
	const first = lose(1, 'a1', 10);
	t.deepEqual(routeIn(first), ['a2', 'b1']);
	t.deepEqual(routeIn(lose(connectionIn(first), 'b1', 20)), []);
	t.deepEqual(routeIn(recovery.handle({kind: StreamEventKind.Tick}, 100)), []);
	t.deepEqual(routeIn(recovery.handle({kind: StreamEventKind.Tick}, 130)), ['a2', 'b2']);
});

const frameArbitrary = fc.record({
	attempt: fc.integer({min: 1, max: 4}),
	index: fc.integer({min: 0, max: 6}),
	isFaulty: fc.integer({min: 0, max: 9}).map(number => number === 0),
	isLast: fc.boolean(),
}).map(({attempt, index, isFaulty, isLast}) => {
	const good = frame(attempt, index, {text: `t${index}`, finish: isLast && index === 6 ? FinishReason.Stop : undefined});
	return isFaulty ? {...good, receipts: good.receipts.slice(0, 1)} : good;
});

const statusArbitrary = fc.option(fc.record({
	isKnown: fc.boolean(), received: fc.integer({min: 0, max: 3}), forwarded: fc.integer({min: 0, max: 3}), emitted: fc.integer({min: 0, max: 7}),
}), {nil: undefined});

const eventArbitrary: fc.Arbitrary<StreamEvent> = fc.oneof(
	{weight: 6, arbitrary: fc.record({kind: fc.constant(StreamEventKind.Frames as const), connection: fc.integer({min: 1, max: 5}), frames: fc.array(frameArbitrary, {maxLength: 4})})},
	fc.record({
		kind: fc.constant(StreamEventKind.Closed as const), connection: fc.integer({min: 1, max: 5}), reason: fc.constant('closed'), serverAtFault: fc.constantFrom('a1', 'b1', 'b2', undefined),
	}),
	fc.constant({kind: StreamEventKind.Tick as const}),
	fc.record({kind: fc.constant(StreamEventKind.Inspected as const), attempt: fc.integer({min: 1, max: 4}), statuses: fc.tuple(statusArbitrary, statusArbitrary)}),
);

test('whatever happens, the caller gets each token once, in order, and one end', t => {
	const property = fc.property(fc.array(fc.tuple(eventArbitrary, fc.integer({min: 0, max: 400})), {maxLength: 60, size: 'max'}), events => {
		const recovery = begun();
		const delivered: string[] = [];
		let ends = 0;
		let now = 0;
		let attempt = 1;
		for (const [event, pause] of events) {
			now += pause;
			for (const command of recovery.handle(event, now)) {
				if (command.kind === StreamCommandKind.Deliver) {
					if (ends > 0) {
						return false;
					}

					delivered.push(...command.tokens);
				}

				ends += command.kind === StreamCommandKind.Finish || command.kind === StreamCommandKind.Fail ? 1 : 0;
				if (command.kind === StreamCommandKind.Run) {
					if (command.attempt <= attempt) {
						return false;
					}

					({attempt} = command);
				}
			}
		}

		return ends <= 1 && delivered.every((token, index) => token === `t${index}`);
	});
	t.notThrows(() => {
		fc.assert(property, {seed: seed(), numRuns: 3000});
	});
});
