import test from 'ava';
import fc from 'fast-check';
import {Priority} from '../src/configuration/priority.js';
import {RowKind} from '../src/configuration/row-kind.js';
import {type Workspace} from '../src/configuration/sheet-row.js';
import {Invariants} from '../src/observation/invariants.js';
import {Failure} from '../src/results/failure.js';
import {ResultCode} from '../src/results/result-code.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {UsageMeter} from '../src/usage/usage-meter.js';
import {
	getUsageRowKey, getWindow, sumChargedTokens, usageRecordSchema, windowMs,
} from '../src/usage/usage-record.js';
import {FakeTable, TableCallOutcome} from './support/fake-table.js';
import {seed} from './support/seed.js';
import {silentLog} from './support/silent-log.js';

const instances = 3;
const workspace: Workspace = {
	kind: RowKind.Workspace, name: 'w', priority: Priority.Normal, share: 10, tokensPerMinute: 1000, concurrentStreams: 24, keyDigest: '',
};

function createMeter(table: FakeTable, timers: ManualTimerService, holder = 'process-0'): UsageMeter {
	return new UsageMeter({
		table, timers, holder, countInstances: () => instances, invariants: new Invariants(), log: silentLog,
	});
}

function countCharged(table: FakeTable, window: number): number {
	const row = table.rows.get(getUsageRowKey(workspace.name, window));
	return row ? sumChargedTokens(usageRecordSchema.parse(JSON.parse(row.value))) : 0;
}

// Guards against a request that is refused because the minute ended while its grant was being written.
test('a grant that arrives after the end of its minute: the request gets one of the next minute', async t => {
	const timers = new ManualTimerService(windowMs - 10);
	// The read starts 10 ms before the end of the minute, the write 4 ms before it.
	const table = new FakeTable(() => {
		timers.advance(6);
		return TableCallOutcome.Succeeded;
	});
	const meter = createMeter(table, timers);
	const reservation = await meter.reserve(workspace, 100);
	t.is(reservation.allowance.window, 1);
	t.true(countCharged(table, 1) >= 100);
});

// Guards against a request that is refused in a new minute because the past one was granted out.
test('an answer that the past minute is granted out decides nothing for the next one', async t => {
	const timers = new ManualTimerService(windowMs - 10);
	const table = new FakeTable();
	await createMeter(table, timers, 'process-1').reserve(workspace, 1000);
	table.nextOutcome = () => {
		timers.advance(6);
		return TableCallOutcome.Succeeded;
	};

	const reservation = await createMeter(table, timers).reserve(workspace, 100);
	t.is(reservation.allowance.window, 1);
});

// Guards against requests that are refused because others took the grant that they waited for.
test('requests that arrive together far below both limits are all served', async t => {
	const meter = createMeter(new FakeTable(), new ManualTimerService());
	const reservations = await Promise.all(Array.from({length: 8}, async () => meter.reserve(workspace, 100)));
	t.is(reservations.length, 8);
});

// Guards against requests that are refused for lack of streams although the grant for them was only too small.
test('requests that together need more streams than one grant is for are all served', async t => {
	const meter = createMeter(new FakeTable(), new ManualTimerService());
	const reservations = await Promise.all(Array.from({length: 20}, async () => meter.reserve(workspace, 1)));
	t.is(reservations.length, 20);
});

// Guards against a request that is refused after an outage because the next grant did not cover what was used in it.
test('after an outage the next grant covers what was used from the outage allowance', async t => {
	let outcome = TableCallOutcome.Refused;
	const table = new FakeTable(() => outcome);
	const meter = createMeter(table, new ManualTimerService());
	meter.settle(await meter.reserve(workspace, 300), 300);
	outcome = TableCallOutcome.Succeeded;
	await t.notThrowsAsync(meter.reserve(workspace, 100));
	t.is(countCharged(table, 0), 400);
});

// Guards against a minute whose allowance is discarded, and granted a second time, because the past minutes were being settled twice at once.
test('a settlement of past minutes that takes long does not discard the allowance of the current one', async t => {
	const timers = new ManualTimerService(windowMs - 10);
	const meter = createMeter(new FakeTable(), timers);
	meter.settle(await meter.reserve(workspace, 100), 100);
	timers.advance(20);
	meter.settle(await meter.reserve(workspace, 900), 900);
	// Two settlements are due, and the second one starts before the first has ended.
	timers.advance(10_000);
	await meter.flush();
	await t.throwsAsync(meter.reserve(workspace, 900), {message: /limit of 1000 tokens/v});
});

// Guards against refusals far below the limit, and against use beyond it, under any interleaving of requests, instances and minutes.
test('while the table answers, tokens are refused only once all tokens of a minute are granted, and use stays within them', async t => {
	const step = fc.record({
		requests: fc.array(fc.record({instance: fc.nat(instances - 1), tokens: fc.integer({min: 1, max: 150})}), {minLength: 1, maxLength: 6}),
		pause: fc.constantFrom(0, 100, 5000, 20_000),
	});
	const property = fc.asyncProperty(fc.array(step, {maxLength: 20, size: 'max'}), fc.array(fc.nat(30), {minLength: 1, maxLength: 30}), fc.nat(60), async (steps, delays, lead) => {
		const timers = new ManualTimerService(windowMs - lead);
		const fullWindows = new Set<number>();
		let calls = 0;
		const table = new FakeTable(() => {
			timers.advance(delays[calls++ % delays.length]);
			return TableCallOutcome.Succeeded;
		});
		const noteFullWindows = () => {
			const window = getWindow(timers.wallClock());
			for (const candidate of [window - 1, window]) {
				if (countCharged(table, candidate) >= workspace.tokensPerMinute) {
					fullWindows.add(candidate);
				}
			}
		};

		const meters = Array.from({length: instances}, (_, index) => createMeter(table, timers, `process-${index}`));
		const used = new Map<number, number>();
		const wrongRefusals: unknown[] = [];
		for (const {requests, pause} of steps) {
			// eslint-disable-next-line no-await-in-loop
			await Promise.all(requests.map(async ({instance, tokens}) => {
				try {
					const reservation = await meters[instance].reserve(workspace, tokens);
					noteFullWindows();
					const {window} = reservation.allowance;
					used.set(window, (used.get(window) ?? 0) + tokens);
					meters[instance].settle(reservation, tokens);
				} catch (error) {
					noteFullWindows();
					const window = getWindow(timers.wallClock());
					const isLimitReached = error instanceof Failure && error.code === ResultCode.TokenLimitReached && (fullWindows.has(window) || fullWindows.has(window - 1));
					if (!isLimitReached) {
						wrongRefusals.push(error);
					}
				}
			}));
			timers.advance(pause);
		}

		return wrongRefusals.length === 0 && [...used.values()].every(tokens => tokens <= workspace.tokensPerMinute);
	});
	await t.notThrowsAsync(async () => fc.assert(property, {seed: seed(), numRuns: 300}));
});
