import test from 'ava';
import fc from 'fast-check';
import {FinishReason} from '../src/backends/finish-reason.js';
import {Execution} from '../src/results/execution.js';
import {ResultCode} from '../src/results/result-code.js';
import {type StreamCommand, StreamCommandKind} from '../src/routing/stream-command.js';
import {type StreamEvent, StreamEventKind} from '../src/routing/stream-event.js';
import {
	createFrame, createRoute, createStatus, getKinds, getNewConnection, getNewRoute, startRecovery,
} from './support/recovery-fixture.js';
import {seed} from './support/seed.js';

test('a server that does not respond is replaced and the others are kept', t => {
	const recovery = startRecovery();
	recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [createFrame(1, 0)]}, 10);
	t.deepEqual(getKinds(recovery.handle({kind: StreamEventKind.Closed, connection: 1, reason: 'reset'}, 20)), [StreamCommandKind.Inspect]);
	const commands = recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses: [createStatus(1, 1), undefined]}, 30);
	t.deepEqual(getKinds(commands), [StreamCommandKind.Suspect, StreamCommandKind.Cancel, StreamCommandKind.Run]);
	t.deepEqual(getNewRoute(commands), ['a1', 'b2']);
});

test('a silent connection is replaced without suspecting any server', t => {
	const recovery = startRecovery();
	recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [createFrame(1, 0)]}, 10);
	t.deepEqual(getKinds(recovery.handle({kind: StreamEventKind.Tick}, 320)), [StreamCommandKind.Inspect]);
	const commands = recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses: [createStatus(5, 5), createStatus(5, 5, 5)]}, 330);
	t.deepEqual(getKinds(commands), [StreamCommandKind.Attach]);
	// The stages have finished, so their counters no longer change. The new connection may become silent too.
	recovery.handle({kind: StreamEventKind.Tick}, 1000);
	const again = recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses: [createStatus(5, 5), createStatus(5, 5, 5)]}, 1010);
	t.deepEqual(getKinds(again), [StreamCommandKind.Attach]);
});

test('a slow stage is given more time, a stuck stage is replaced', t => {
	const recovery = startRecovery();
	recovery.handle({kind: StreamEventKind.Tick}, 700);
	const slow = recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses: [createStatus(1, 1), createStatus(1, 0)]}, 710);
	t.false(getKinds(slow).includes(StreamCommandKind.Run));
	recovery.handle({kind: StreamEventKind.Tick}, 2000);
	const stuck = recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses: [createStatus(1, 1), createStatus(1, 0)]}, 2010);
	t.deepEqual(getNewRoute(stuck), ['a1', 'b2']);
});

test('a stream that slows down to a fraction of its token rate moves off both ends of the slow link, and no server is suspected', t => {
	const recovery = startRecovery();
	let now = 0;
	let inspections: readonly StreamCommand[] = [];
	for (let index = 0; index < 40 && inspections.length === 0; index++) {
		now += index < 20 ? 12 : 120;
		const commands = recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [createFrame(1, index)]}, now);
		inspections = commands.filter(({kind}) => kind === StreamCommandKind.Inspect);
	}

	t.is(inspections.length, 1);
	const commands = recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses: [createStatus(30, 30), createStatus(29, 29, recovery.delivered)]}, now + 5);
	t.deepEqual(getKinds(commands), [StreamCommandKind.Cancel, StreamCommandKind.Run]);
	t.deepEqual(getNewRoute(commands), ['a2', 'b2']);
});

test('a batch lost on a link is inspected again early, and both ends of the link are replaced', t => {
	const recovery = startRecovery();
	recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [createFrame(1, 0)]}, 0);
	recovery.handle({kind: StreamEventKind.Tick}, 310);
	const statuses = [createStatus(2, 2), createStatus(1, 1, 1)];
	recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses}, 320);
	t.deepEqual(getKinds(recovery.handle({kind: StreamEventKind.Tick}, 480)), [StreamCommandKind.Inspect]);
	t.deepEqual(getNewRoute(recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses}, 490)), ['a2', 'b2']);
});

test('a stage that changed its version is replaced, and its token is not delivered', t => {
	const recovery = startRecovery();
	const wrong = createFrame(1, 0);
	const commands = recovery.handle({
		kind: StreamEventKind.Frames,
		connection: 1,
		frames: [{...wrong, receipts: [wrong.receipts[0], {...wrong.receipts[1], version: 'v2'}]}],
	}, 10);
	t.is(recovery.delivered, 0);
	t.deepEqual(getNewRoute(commands), ['a1', 'b2']);
});

// Guards against an answer that is started again at once on the route that has just refused or forgotten it.
test('a stage that no longer knows the attempt is avoided and not suspected, and used again if there is no other', t => {
	const statuses = [createStatus(1, 1), {...createStatus(0, 0), isKnown: false}];
	for (const isAlone of [false, true]) {
		const recovery = startRecovery(isAlone ? {findRoute: excluded => excluded.size === 0 ? createRoute(['a1', 'b1']) : undefined} : {});
		recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [createFrame(1, 0)]}, 10);
		recovery.handle({kind: StreamEventKind.Closed, connection: 1, reason: 'reset'}, 20);
		const commands = recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses}, 30);
		t.false(getKinds(commands).includes(StreamCommandKind.Suspect));
		const next = isAlone ? recovery.handle({kind: StreamEventKind.Tick}, 40) : commands;
		t.deepEqual(getNewRoute(next), isAlone ? ['a1', 'b1'] : ['a1', 'b2']);
	}
});

// Guards against an answer that is started again at once on the route that has just left out a token.
test('the last stage of an attempt that leaves out a token is avoided and not suspected', t => {
	const recovery = startRecovery();
	const commands = recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [createFrame(1, 0), createFrame(1, 2)]}, 10);
	t.is(recovery.delivered, 1);
	t.false(getKinds(commands).includes(StreamCommandKind.Suspect));
	t.deepEqual(getNewRoute(commands), ['a1', 'b2']);
});

test('late frames of an earlier attempt are dropped', t => {
	const recovery = startRecovery();
	recovery.handle({
		kind: StreamEventKind.Closed, connection: 1, reason: 'stage lost', unreachableServer: 'a1',
	}, 10);
	t.deepEqual(recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [createFrame(1, 0)]}, 20), []);
	recovery.handle({kind: StreamEventKind.Frames, connection: 2, frames: [createFrame(1, 0)]}, 20);
	t.is(recovery.delivered, 0);
});

test('an exhausted retry budget ends the stream immediately with an explicit failure', t => {
	const recovery = startRecovery({tryAcquireRetry: () => false});
	recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [createFrame(1, 0)]}, 10);
	const first = recovery.handle({
		kind: StreamEventKind.Closed, connection: 1, reason: 'stage lost', unreachableServer: 'a1',
	}, 10);
	t.deepEqual(getNewRoute(first), ['a2', 'b1'], 'the first retry only moves the work and needs no budget');
	const commands = recovery.handle({
		kind: StreamEventKind.Closed, connection: getNewConnection(first), reason: 'stage lost', unreachableServer: 'b1',
	}, 20);
	const failure = commands.find(command => command.kind === StreamCommandKind.Fail)?.failure;
	t.is(failure?.code, ResultCode.StreamInterrupted);
	t.is(failure?.execution, Execution.Unknown);
});

test('without a pipeline the request fails as not run', t => {
	const recovery = startRecovery({findRoute: () => undefined});
	const commands = recovery.handle({kind: StreamEventKind.Tick}, 2000);
	const failure = commands.find(command => command.kind === StreamCommandKind.Fail)?.failure;
	t.is(failure?.code, ResultCode.NoPipeline);
	t.is(failure?.execution, Execution.NotRun);
	t.true((failure?.retryAfterSeconds ?? 0) > 0);
});

test('retries after the first one wait for the random delay', t => {
	const recovery = startRecovery();
	const closeConnection = (connection: number, unreachableServer: string, now: number) => recovery.handle({
		kind: StreamEventKind.Closed, connection, reason: 'stage lost', unreachableServer,
	}, now);
	const first = closeConnection(1, 'a1', 10);
	t.deepEqual(getNewRoute(first), ['a2', 'b1']);
	t.deepEqual(getNewRoute(closeConnection(getNewConnection(first), 'b1', 20)), []);
	t.deepEqual(getNewRoute(recovery.handle({kind: StreamEventKind.Tick}, 100)), []);
	t.deepEqual(getNewRoute(recovery.handle({kind: StreamEventKind.Tick}, 130)), ['a2', 'b2']);
});

const frameArbitrary = fc.record({
	attempt: fc.integer({min: 1, max: 6}),
	index: fc.integer({min: 0, max: 6}),
	isFaulty: fc.integer({min: 0, max: 9}).map(number => number === 0),
	isLast: fc.boolean(),
}).map(({attempt, index, isFaulty, isLast}) => {
	const good = createFrame(attempt, index, {text: `t${index}`, finish: isLast && index === 6 ? FinishReason.Stop : undefined});
	return isFaulty ? {...good, receipts: good.receipts.slice(0, 1)} : good;
});

const statusArbitrary = fc.option(fc.record({
	isKnown: fc.boolean(), received: fc.integer({min: 0, max: 3}), forwarded: fc.integer({min: 0, max: 3}), emitted: fc.integer({min: 0, max: 7}),
}), {nil: undefined});

const eventArbitrary: fc.Arbitrary<StreamEvent> = fc.oneof(
	{weight: 6, arbitrary: fc.record({kind: fc.constant(StreamEventKind.Frames as const), connection: fc.integer({min: 1, max: 8}), frames: fc.array(frameArbitrary, {maxLength: 4})})},
	fc.record({
		kind: fc.constant(StreamEventKind.Closed as const), connection: fc.integer({min: 1, max: 8}), reason: fc.constant('closed'), unreachableServer: fc.constantFrom('a1', 'b1', 'b2', undefined),
	}),
	fc.constant({kind: StreamEventKind.Tick as const}),
	fc.record({kind: fc.constant(StreamEventKind.Inspected as const), attempt: fc.integer({min: 1, max: 6}), statuses: fc.tuple(statusArbitrary, statusArbitrary)}),
);

test('whatever happens, the caller receives each token once, in order, and at most one end', t => {
	const property = fc.property(fc.array(fc.tuple(eventArbitrary, fc.integer({min: 0, max: 400})), {maxLength: 60, size: 'max'}), events => {
		const recovery = startRecovery();
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

// Guards against answers that are cut off although their server only paused: one inspection without a response is no proof that it ended.
test('an attempt whose stage does not respond to an inspection is kept until another route can take it over', t => {
	const recovery = startRecovery({findRoute: (excluded, previous) => excluded.size === 0 && previous.length === 0 ? createRoute(['a1', 'b1']) : undefined});
	recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [createFrame(1, 0)]}, 10);
	recovery.handle({kind: StreamEventKind.Tick}, 320);
	const commands = recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses: [createStatus(1, 1), undefined]}, 330);
	t.false(getKinds(commands).includes(StreamCommandKind.Cancel));
	const deliveries = recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [createFrame(1, 1)]}, 1400);
	t.true(getKinds(deliveries).includes(StreamCommandKind.Deliver));
});

// Guards against an answer that never ends because the attempt is kept for a server that is gone.
test('an attempt whose stage does not respond for long ends with an explicit failure', t => {
	const recovery = startRecovery({findRoute: (excluded, previous) => excluded.size === 0 && previous.length === 0 ? createRoute(['a1', 'b1']) : undefined});
	recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [createFrame(1, 0)]}, 10);
	const all: StreamCommand[] = [];
	for (let now = 20; now < 6000 && !recovery.isOver; now += 20) {
		const commands = recovery.handle({kind: StreamEventKind.Tick}, now);
		const isInspection = getKinds(commands).includes(StreamCommandKind.Inspect);
		const results = isInspection ? recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses: [createStatus(1, 1), undefined]}, now) : [];
		all.push(...commands, ...results);
	}

	t.is(all.at(-1)?.kind, StreamCommandKind.Fail);
	t.deepEqual(all.flatMap(command => command.kind === StreamCommandKind.Cancel ? [command.attempt] : []), [1], 'once, when the attempt is given up');
});

// Guards against a wait for a server that may pause although another route could go on at once.
test('an attempt that was kept moves as soon as there is another route', t => {
	let hasAlternative = false;
	const recovery = startRecovery({findRoute: excluded => excluded.size === 0 ? createRoute(['a1', 'b1']) : (hasAlternative ? createRoute(['a1', 'b2']) : undefined)});
	recovery.handle({kind: StreamEventKind.Frames, connection: 1, frames: [createFrame(1, 0)]}, 10);
	recovery.handle({kind: StreamEventKind.Tick}, 320);
	recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses: [createStatus(1, 1), undefined]}, 330);
	hasAlternative = true;
	recovery.handle({kind: StreamEventKind.Tick}, 1000);
	const commands = recovery.handle({kind: StreamEventKind.Inspected, attempt: 1, statuses: [createStatus(1, 1), undefined]}, 1010);
	t.deepEqual(getNewRoute(commands), ['a1', 'b2']);
});
