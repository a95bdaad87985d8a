import test from 'ava';
import fc from 'fast-check';
import {ResultCode} from '../src/results/result-code.js';
import {type StreamCommand, StreamCommandKind} from '../src/routing/stream-command.js';
import {StreamEventKind} from '../src/routing/stream-event.js';
import {type StreamRecovery} from '../src/routing/stream-recovery.js';
import {type StreamRecoveryOptions} from '../src/routing/stream-recovery-options.js';
import {
	type Action, ActionKind, AttemptModel, lastIndex,
} from './support/attempt-model.js';
import {
	close, createFrame, createRoute, createStatus, getKinds, getNewConnection, getNewRoute, getTokens, receive, startRecovery,
} from './support/recovery-fixture.js';
import {seed} from './support/seed.js';

type SilentStream = {
	readonly recovery: StreamRecovery;
	/** Commands that answered the inspection without a response of b1. */
	readonly commands: readonly StreamCommand[];
	/** Connection of the attempt on the other route; 0 if none was started. */
	readonly other: number;
};

/** Starts a stream whose first attempt delivers one token; b1 does not respond to the inspection at 330 ms. */
function startSilentStream(changes: Partial<StreamRecoveryOptions> = {}): SilentStream {
	const recovery = startRecovery(changes);
	receive(recovery, 1, [createFrame(1, 0)], 10);
	recovery.handle({kind: StreamEventKind.Tick}, 320);
	const commands = inspectSilent(recovery, 1, 330);
	return {recovery, commands, other: getNewConnection(commands)};
}

function inspectSilent(recovery: StreamRecovery, attempt: number, now: number): readonly StreamCommand[] {
	return recovery.handle({kind: StreamEventKind.Inspected, attempt, statuses: [createStatus(1, 1), undefined]}, now);
}

function getCancelled(commands: readonly StreamCommand[]): readonly number[] {
	return commands.flatMap(command => command.kind === StreamCommandKind.Cancel ? [command.attempt] : []);
}

function getFailure(commands: readonly StreamCommand[]): ResultCode | undefined {
	return commands.find(command => command.kind === StreamCommandKind.Fail)?.failure.code;
}

/** Answers the inspections among the commands, whose last stage does not respond. */
function answerInspections(recovery: StreamRecovery, commands: readonly StreamCommand[], now: number): readonly StreamCommand[] {
	const inspections = commands.filter(command => command.kind === StreamCommandKind.Inspect);
	return [...commands, ...inspections.flatMap(({attempt}) => inspectSilent(recovery, attempt, now))];
}

/** Advances time in steps of 50 ms. */
function waitSilently(recovery: StreamRecovery, from: number, to: number): readonly StreamCommand[] {
	const commands: StreamCommand[] = [];
	for (let now = from; now <= to; now += 50) {
		commands.push(...answerInspections(recovery, recovery.handle({kind: StreamEventKind.Tick}, now), now));
	}

	return commands;
}

// Guards against an answer that is lost because its silent attempt was cancelled for a route that refuses the request.
for (const unreachableServer of [undefined, 'b2']) {
	test(`a silent attempt goes on if the other route closes the new attempt at once, ${unreachableServer ?? 'no server'} unreachable`, t => {
		const {recovery, commands, other} = startSilentStream();
		t.deepEqual(getNewRoute(commands), ['a1', 'b2']);
		t.deepEqual(getCancelled(commands), []);
		t.deepEqual(getCancelled(close(recovery, other, 335, unreachableServer)), [2]);
		t.deepEqual(getTokens(receive(recovery, 1, [createFrame(1, 1), createFrame(1, 2)], 900)), ['t1', 't2']);
		t.deepEqual(getCancelled(recovery.handle({kind: StreamEventKind.Tick}, 950)), []);
	});
}

// Guards against an answer that waits for a route which never sends a frame, although its first attempt goes on.
test('a silent attempt goes on if the other route never answers', t => {
	const {recovery} = startSilentStream();
	recovery.handle({kind: StreamEventKind.Tick}, 640);
	inspectSilent(recovery, 2, 650);
	const commands = receive(recovery, 1, [createFrame(1, 1)], 1300);
	t.deepEqual(getTokens(commands), ['t1']);
	t.deepEqual(getCancelled(commands), [2]);
});

// Guards against an attempt that is held for ever beside another one.
test('a silent attempt is cancelled after 1.5 s without an answer of either, and a late answer of the other route is delivered', t => {
	const {recovery, other} = startSilentStream();
	const cancelled: number[] = [];
	for (let now = 350; now <= 1850; now += 50) {
		const commands = recovery.handle({kind: StreamEventKind.Tick}, now);
		cancelled.push(...getCancelled(commands));
	}

	t.deepEqual(cancelled, [1]);
	t.deepEqual(getTokens(receive(recovery, other, [createFrame(2, 1)], 1900)), ['t1']);
	t.deepEqual(receive(recovery, 1, [createFrame(1, 1)], 1910), []);
});

// Guards against two attempts that both go on: the one that loses must be stopped, and none of its tokens may be delivered.
test('the first attempt that delivers goes on alone, whichever it is', t => {
	for (const isFirst of [true, false]) {
		const {recovery, other} = startSilentStream();
		const [winner, loser] = isFirst ? [1, 2] : [2, 1];
		const getConnection = (attempt: number) => attempt === 1 ? 1 : other;
		const decision = receive(recovery, getConnection(winner), [createFrame(winner, 1)], 400);
		t.deepEqual(getTokens(decision), ['t1']);
		t.deepEqual(getCancelled(decision), [loser]);
		t.deepEqual(receive(recovery, getConnection(loser), [createFrame(loser, 1), createFrame(loser, 2)], 410), []);
		t.deepEqual(getTokens(receive(recovery, getConnection(winner), [createFrame(winner, 2)], 420)), ['t2']);
		t.is(recovery.delivered, 3);
	}
});

// Guards against engines that go on working for a caller who left.
test('the caller leaves while two attempts run: both are cancelled, once', t => {
	const {recovery} = startSilentStream();
	t.deepEqual(getCancelled(recovery.handle({kind: StreamEventKind.CallerGone}, 400)), [1, 2]);
	t.deepEqual(recovery.handle({kind: StreamEventKind.CallerGone}, 410), []);
});

// Guards against attempts that go on after the answer failed at its deadline.
test('the deadline passes while two attempts run: both are cancelled', t => {
	const {recovery} = startSilentStream({deadline: 500});
	const commands = recovery.handle({kind: StreamEventKind.Tick}, 500);
	t.deepEqual(getCancelled(commands), [1, 2]);
	t.is(getFailure(commands), ResultCode.DeadlinePassed);
});

// Guards against an answer that fails for want of retries while its silent attempt may go on.
test('a silent attempt is kept if the retry budget is spent, and fails after 1.5 s', t => {
	for (const isResuming of [true, false]) {
		const {recovery, other} = startSilentStream({tryAcquireRetry: () => false});
		t.is(getFailure(close(recovery, other, 335)), undefined);
		if (isResuming) {
			t.deepEqual(getTokens(receive(recovery, 1, [createFrame(1, 1)], 1500)), ['t1']);
		} else {
			const commands = waitSilently(recovery, 350, 4000);
			t.is(getFailure(commands), ResultCode.StreamInterrupted);
			t.deepEqual(getCancelled(commands), [1]);
		}
	}
});

// Guards against endless attempts beside a silent one.
test('however often other routes refuse the request, a silent attempt has at most seven others, two attempts run at most, and each is cancelled once', t => {
	const {recovery, commands} = startSilentStream({getRetryDelay: () => 0});
	const all = [...commands];
	let running = commands.filter(({kind}) => kind === StreamCommandKind.Run);
	for (let now = 331; now < 12_000 && !recovery.isOver; now += 10) {
		const refused = running.flatMap(run => run.kind === StreamCommandKind.Run ? answerInspections(recovery, close(recovery, run.connection, now), now) : []);
		const waited = waitSilently(recovery, now, now);
		running = [...refused, ...waited].filter(({kind}) => kind === StreamCommandKind.Run);
		all.push(...refused, ...waited);
	}

	let alive = 1;
	for (const {kind} of all) {
		alive += kind === StreamCommandKind.Run ? 1 : (kind === StreamCommandKind.Cancel ? -1 : 0);
		t.true(alive <= 2);
	}

	t.true(recovery.attempts > 2);
	t.true(recovery.attempts <= 8);
	t.is(getFailure(all), ResultCode.StreamInterrupted);
	t.deepEqual(getCancelled(all).toSorted((first, second) => first - second), Array.from({length: recovery.attempts}, (_, index) => index + 1));
});

// Guards against a wait for two silent servers although a third would answer, and against giving both up if there is none.
for (const hasThirdRoute of [true, false]) {
	test(`if the other route falls silent too, ${hasThirdRoute ? 'a third one replaces it' : 'both attempts are kept'}`, t => {
		const routes = ['b1', 'b2', ...(hasThirdRoute ? ['b3'] : [])].map(last => createRoute(['a1', last]));
		const {recovery} = startSilentStream({getRetryDelay: () => 0, findRoute: excluded => routes.find(route => route.every(({server}) => !excluded.has(server)))});
		recovery.handle({kind: StreamEventKind.Tick}, 640);
		const commands = inspectSilent(recovery, 2, 650);
		t.deepEqual(getCancelled(commands), hasThirdRoute ? [2] : []);
		t.deepEqual(getNewRoute(commands), hasThirdRoute ? ['a1', 'b3'] : []);
		const decision = receive(recovery, 1, [createFrame(1, 1)], 700);
		t.deepEqual(getTokens(decision), ['t1']);
		t.deepEqual(getCancelled(decision), [hasThirdRoute ? 3 : 2]);
	});
}

// Guards against giving up the newer of two silent attempts for a retry that the budget refuses.
test('if the other route falls silent too and the retry budget is spent, both attempts are kept', t => {
	const routes = ['b1', 'b2', 'b3'].map(last => createRoute(['a1', last]));
	const {recovery, other} = startSilentStream({tryAcquireRetry: () => false, findRoute: excluded => routes.find(route => route.every(({server}) => !excluded.has(server)))});
	recovery.handle({kind: StreamEventKind.Tick}, 640);
	t.deepEqual(getCancelled(inspectSilent(recovery, 2, 650)), []);
	const decision = receive(recovery, other, [createFrame(2, 1)], 700);
	t.deepEqual(getTokens(decision), ['t1']);
	t.deepEqual(getCancelled(decision), [1]);
});

// Guards against a wait for an attempt that has ended.
test('a silent attempt whose connection closes is cancelled, and the other goes on', t => {
	const {recovery, other} = startSilentStream();
	t.deepEqual(getKinds(close(recovery, 1, 340)), [StreamCommandKind.Cancel]);
	t.deepEqual(getTokens(receive(recovery, other, [createFrame(2, 1)], 400)), ['t1']);
});

// Guards against a broken frame of a silent attempt that ends the sound one.
test('a silent attempt that sends an invalid frame is cancelled, and the other goes on', t => {
	const {recovery, other} = startSilentStream();
	const commands = receive(recovery, 1, [createFrame(1, 5)], 340);
	t.true(getKinds(commands).includes(StreamCommandKind.Reject));
	t.deepEqual(getCancelled(commands), [1]);
	t.deepEqual(getTokens(receive(recovery, other, [createFrame(2, 1)], 400)), ['t1']);
});

// Guards against a third attempt that runs beside one that has gone on.
test('a silent attempt that goes on during the delay of a retry ends the retry', t => {
	const routes = [createRoute(['a1', 'b1']), createRoute(['a1', 'b2']), createRoute(['a1', 'b3'])];
	const {recovery, other} = startSilentStream({findRoute: excluded => routes.find(route => route.every(({server}) => !excluded.has(server)))});
	t.deepEqual(getKinds(close(recovery, other, 335)), [StreamCommandKind.Cancel]);
	t.deepEqual(getTokens(receive(recovery, 1, [createFrame(1, 1)], 400)), ['t1']);
	t.deepEqual(recovery.handle({kind: StreamEventKind.Tick}, 500), []);
});

// Guards against giving up after the first refusal although a third route would accept the request.
test('after a refusal the next route is tried while the silent attempt is kept', t => {
	const routes = [createRoute(['a1', 'b1']), createRoute(['a1', 'b2']), createRoute(['a1', 'b3'])];
	const {recovery, other} = startSilentStream({findRoute: excluded => routes.find(route => route.every(({server}) => !excluded.has(server)))});
	close(recovery, other, 335);
	const commands = recovery.handle({kind: StreamEventKind.Tick}, 500);
	t.deepEqual(getNewRoute(commands), ['a1', 'b3']);
	const decision = receive(recovery, getNewConnection(commands), [createFrame(3, 1)], 600);
	t.deepEqual(getTokens(decision), ['t1']);
	t.deepEqual(getCancelled(decision), [1]);
});

const silentStatuses = [[createStatus(1, 1), undefined], [undefined, createStatus(1, 1)]] as const;
const actionArbitrary: fc.Arbitrary<Action> = fc.record({
	kind: fc.constantFrom(ActionKind.Frames, ActionKind.Frames, ActionKind.Closed, ActionKind.Tick, ActionKind.Tick, ActionKind.Tick, ActionKind.Inspected, ActionKind.Inspected),
	attempt: fc.nat({max: 7}),
	tokens: fc.integer({min: 1, max: 2}),
	statuses: fc.constantFrom(...silentStatuses, ...silentStatuses, [createStatus(1, 1), createStatus(1, 0)], [createStatus(1, 1), {...createStatus(0, 0), isKnown: false}]),
	unreachableServer: fc.constantFrom(undefined, undefined, 'b1', 'b2'),
});

// Guards against mixing the tokens of two attempts, dropping those of one that still runs, and attempts that are never or repeatedly ended.
test('whatever two attempts do, the tokens of one that runs are delivered, two run at most, and each is cancelled once', t => {
	let pairs = 0;
	const property = fc.property(fc.array(fc.tuple(actionArbitrary, fc.integer({min: 0, max: 400})), {maxLength: 60, size: 'max'}), actions => {
		const {recovery, commands} = startSilentStream();
		const model = new AttemptModel(recovery, [{
			kind: StreamCommandKind.Run, attempt: 1, connection: 1, route: [],
		}, {kind: StreamCommandKind.Deliver, tokens: ['t0']}, ...commands]);
		model.started[0].next = 1;
		let now = 340;
		for (const [action, pause] of actions) {
			now += pause;
			model.perform(action, now);
			pairs += model.running.length === 2 ? 1 : 0;
		}

		const wasOver = recovery.isOver;
		model.perform({
			kind: ActionKind.Tick, attempt: 0, tokens: 1, statuses: [],
		}, 60_000);
		const left = model.running.length;
		return model.violations.length === 0 && (left === 0 || (wasOver && left === 1 && model.delivered === lastIndex + 1));
	});
	t.notThrows(() => {
		fc.assert(property, {seed: seed(), numRuns: 3000});
	});
	t.true(pairs > 3000);
});
