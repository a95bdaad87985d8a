import test from 'ava';
import fc from 'fast-check';
import {ActionExecutor} from '../src/actions/action-executor.js';
import {ActionState} from '../src/actions/action-state.js';
import {type SendResult} from '../src/actions/send-result.js';
import {Execution} from '../src/results/execution.js';
import {Failure} from '../src/results/failure.js';
import {ResultCode} from '../src/results/result-code.js';
import {type TransactionResult} from '../src/store/transaction-result.js';
import {type ConditionalWrite} from '../src/store/conditional-write.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {FakeTable, TableCallOutcome} from './support/fake-table.js';
import {seed} from './support/seed.js';
import {silentLog} from './support/silent-log.js';

type SentAttempt = {
	readonly attempt: string;
	readonly execution: Execution;
};

const answer = {status: 200, contentType: 'application/json', body: '{"record":1}'};

/** Advances the manual time and runs pending promise callbacks until the work is settled. */
async function advanceUntilSettled<Value>(timers: ManualTimerService, work: Promise<Value>): Promise<Value> {
	const state = {isSettled: false};
	const watch = (async () => {
		try {
			await work;
		} catch {}

		state.isSettled = true;
	})();
	for (let step = 0; step < 5000 && !state.isSettled; step++) {
		for (let turn = 0; turn < 30; turn++) {
			await Promise.resolve(); // eslint-disable-line no-await-in-loop
		}

		timers.advance(50);
	}

	await watch;
	return work;
}

/** Result of a table call of an instance that has crashed: it never settles. */
async function neverSettle(): Promise<never> {
	return new Promise(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function
}

async function getExecution(work: Promise<unknown>): Promise<Execution> {
	try {
		await work;
		return Execution.Run;
	} catch (error) {
		return error instanceof Failure ? error.execution : Execution.Unknown;
	}
}

const tableOutcomes = fc.array(fc.constantFrom(...Object.values(TableCallOutcome)), {maxLength: 40, size: 'max'});
const results = fc.array(fc.constantFrom(...Object.values(Execution)), {minLength: 1, maxLength: 6});

/** Input of one run of the model: several callers use one key at different instances, table calls have the given outcomes, the service may fail and instances may crash. */
type ModelRun = {
	readonly tableOutcomes: readonly TableCallOutcome[];
	readonly results: readonly Execution[];
	/** Number of the table call at which the instance of each attempt crashes; -1 for never. */
	readonly crashes: readonly number[];
	readonly attempts: number;
	readonly startInterval: number;
};

async function execute(run: ModelRun): Promise<{sent: readonly SentAttempt[]; outcomes: readonly Execution[]; runs: number}> {
	const timers = new ManualTimerService();
	const remainingOutcomes = [...run.tableOutcomes];
	const table = new FakeTable(() => remainingOutcomes.shift() ?? TableCallOutcome.Succeeded);
	const sent: SentAttempt[] = [];
	let runs = 0;
	const attempts = Array.from({length: run.attempts}, (_, index) => index);
	const work = attempts.map(async index => {
		await timers.sleep(index * run.startInterval);
		const crashAfter = run.crashes[index % run.crashes.length];
		const instanceTable = new FakeTable(table.nextOutcome);
		let calls = 0;
		// The instance's view of the table: the call at which it crashes does not reach the table and never settles.
		instanceTable.read = async key => ++calls === crashAfter ? neverSettle() : table.read(key);
		instanceTable.transact = async writes => ++calls === crashAfter ? neverSettle() : table.transact(writes);
		const executor = new ActionExecutor(instanceTable, timers, `entry-${index}`, silentLog);
		const action = {
			workspace: 'desks', key: 'k', fingerprint: 'f', attempt: `attempt-${index}`, deadline: timers.now() + 3000,
		};
		const send = async (): Promise<SendResult> => {
			const execution = run.results[sent.length % run.results.length];
			sent.push({attempt: action.attempt, execution});
			runs += execution === Execution.NotRun ? 0 : 1;
			return execution === Execution.Run ? {execution, answer} : {execution, reason: 'chosen by the model'};
		};

		return crashAfter > 0
			? Promise.race([getExecution(executor.run(action, send)), (async () => {
				await timers.sleep(20_000);
				return Execution.Unknown;
			})()])
			: getExecution(executor.run(action, send));
	});
	const outcomes = await advanceUntilSettled(timers, Promise.all(work));
	table.applyDelayedWrites();
	return {sent, outcomes, runs};
}

test('at most once, and nothing ran if every caller was told not_run, whatever the table, the service and crashes do', async t => {
	const property = fc.asyncProperty(fc.record({
		tableOutcomes,
		results,
		crashes: fc.array(fc.integer({min: -1, max: 6}).filter(calls => calls !== 0), {minLength: 1, maxLength: 4}),
		attempts: fc.integer({min: 1, max: 4}),
		startInterval: fc.constantFrom(0, 40, 900, 2500, 12_000),
	}), async run => {
		const {sent, outcomes, runs} = await execute(run);
		const isRunOnce = runs <= 1;
		const isNotRunTrue = outcomes.some(outcome => outcome !== Execution.NotRun) || runs === 0;
		// A caller is told that the action ran only if it did run and was answered.
		const isRunTrue = !outcomes.includes(Execution.Run) || sent.some(({execution}) => execution === Execution.Run);
		return isRunOnce && isNotRunTrue && isRunTrue;
	});
	await t.notThrowsAsync(async () => fc.assert(property, {seed: seed(), numRuns: 2000}));
});

async function rejectSending(): Promise<SendResult> {
	throw new Error('the action was sent');
}

function createExecutor(table: FakeTable, timers = new ManualTimerService()): ActionExecutor {
	return new ActionExecutor(table, timers, 'entry-a', silentLog);
}

function createAction(attempt: string, fingerprint = 'f') {
	return {
		workspace: 'desks', key: 'k', fingerprint, attempt, deadline: 1000,
	};
}

test('the same key with another body is a conflict', async t => {
	const table = new FakeTable();
	const executor = createExecutor(table);
	await executor.run(createAction('1'), async () => ({execution: Execution.Run, answer}));
	const error = await t.throwsAsync(executor.run(createAction('2', 'other'), rejectSending), {instanceOf: Failure});
	t.is(error?.code, ResultCode.ActionConflict);
});

test('a repeated key returns the recorded answer', async t => {
	const table = new FakeTable();
	const executor = createExecutor(table);
	await executor.run(createAction('1'), async () => ({execution: Execution.Run, answer}));
	t.deepEqual(await executor.run(createAction('2'), rejectSending), answer);
	t.is(table.transactions, 3, 'the claim, the sent state and the outcome take one write each');
});

test('an unavailable table means not run, with a time after which to retry', async t => {
	const executor = createExecutor(new FakeTable(() => TableCallOutcome.Refused));
	const error = await t.throwsAsync(executor.run(createAction('1'), rejectSending), {instanceOf: Failure});
	t.is(error?.execution, Execution.NotRun);
	t.true((error?.retryAfterSeconds ?? 0) > 0);
});

test('an outcome that could not be written is written once the table is available again', async t => {
	const timers = new ManualTimerService();
	let isDown = false;
	const table = new FakeTable(() => isDown ? TableCallOutcome.Refused : TableCallOutcome.Succeeded);
	const executor = createExecutor(table, timers);
	const first = await advanceUntilSettled(timers, executor.run({...createAction('1'), deadline: 100_000}, async () => {
		isDown = true;
		return {execution: Execution.Run, answer};
	}));
	t.deepEqual(first, answer);
	t.is(executor.countPendingOutcomes(), 1);
	isDown = false;
	await advanceUntilSettled(timers, executor.flush(10_000));
	const record = await executor.findRecord('desks', 'k');
	t.is(record?.state, ActionState.Done);
});

class SlowTable extends FakeTable {
	constructor(private readonly timers: ManualTimerService, private readonly delay: number) {
		super();
	}

	override async transact(writes: readonly ConditionalWrite[]): Promise<TransactionResult> {
		await this.timers.sleep(this.delay);
		return super.transact(writes);
	}
}

test('an immediate retry after not_run can claim the action, even if the table is slow', async t => {
	const timers = new ManualTimerService();
	const table = new SlowTable(timers, 120);
	const action = (attempt: string) => ({
		workspace: 'w', key: 'k', fingerprint: 'f', attempt, deadline: 10_000,
	});
	const first = new ActionExecutor(table, timers, 'a', silentLog);
	const second = new ActionExecutor(table, timers, 'b', silentLog);
	t.is(await getExecution(advanceUntilSettled(timers, first.run(action('1'), async () => ({execution: Execution.NotRun})))), Execution.NotRun);
	t.is(await getExecution(advanceUntilSettled(timers, second.run(action('2'), async () => ({execution: Execution.Run, answer})))), Execution.Run);
});

test('while the table is unavailable, not_run is reported within 350 ms', async t => {
	const timers = new ManualTimerService();
	const table = new FakeTable();
	const executor = new ActionExecutor(table, timers, 'a', silentLog);
	const running = executor.run({
		workspace: 'w', key: 'k', fingerprint: 'f', attempt: '1', deadline: 10_000,
	}, async () => {
		table.nextOutcome = () => TableCallOutcome.Refused;
		return {execution: Execution.NotRun};
	});
	t.is(await getExecution(advanceUntilSettled(timers, running)), Execution.NotRun);
	t.true(timers.now() <= 350, `${timers.now()} ms`);
});
