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

type Sent = {
	readonly attempt: string;
	readonly execution: Execution;
};

const answer = {status: 200, contentType: 'application/json', body: '{"record":1}'};

/** Moves time and lets promises go on until the work is settled. */
async function settle<Value>(timers: ManualTimerService, work: Promise<Value>): Promise<Value> {
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

/** What a call comes to whose instance is gone. */
async function never(): Promise<never> {
	return new Promise(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function
}

async function outcomeOf(work: Promise<unknown>): Promise<Execution> {
	try {
		await work;
		return Execution.Run;
	} catch (error) {
		return error instanceof Failure ? error.execution : Execution.Unknown;
	}
}

const fates = fc.array(fc.constantFrom(...Object.values(TableCallOutcome)), {maxLength: 40, size: 'max'});
const results = fc.array(fc.constantFrom(...Object.values(Execution)), {minLength: 1, maxLength: 6});

/** One run of the model: some callers with one key at several instances, a table with fates, a service that may fail, instances that crash. */
type Run = {
	readonly fates: readonly TableCallOutcome[];
	readonly results: readonly Execution[];
	/** Number of table calls after which each attempt's instance is gone; -1 for never. */
	readonly crashes: readonly number[];
	readonly attempts: number;
	readonly gap: number;
};

async function execute(run: Run): Promise<{sent: readonly Sent[]; outcomes: readonly Execution[]; runs: number}> {
	const timers = new ManualTimerService();
	const rest = [...run.fates];
	const table = new FakeTable(() => rest.shift() ?? TableCallOutcome.Succeeded);
	const sent: Sent[] = [];
	let runs = 0;
	const attempts = Array.from({length: run.attempts}, (_, index) => index);
	const work = attempts.map(async index => {
		await timers.sleep(index * run.gap);
		const crashAfter = run.crashes[index % run.crashes.length];
		const own = new FakeTable(table.nextOutcome);
		let calls = 0;
		// The instance's view of the table: after the crash, nothing is called and nothing comes back.
		own.read = async key => ++calls === crashAfter ? never() : table.read(key);
		own.transact = async writes => ++calls === crashAfter ? never() : table.transact(writes);
		const ledger = new ActionExecutor(own, timers, `entry-${index}`, silentLog);
		const action = {
			workspace: 'desks', key: 'k', fingerprint: 'f', attempt: `attempt-${index}`, deadline: timers.now() + 3000,
		};
		const send = async (): Promise<SendResult> => {
			const execution = run.results[sent.length % run.results.length];
			sent.push({attempt: action.attempt, execution});
			runs += execution === Execution.NotRun ? 0 : 1;
			return execution === Execution.Run ? {execution, answer} : {execution, reason: 'as the model has it'};
		};

		return crashAfter > 0
			? Promise.race([outcomeOf(ledger.run(action, send)), (async () => {
				await timers.sleep(20_000);
				return Execution.Unknown;
			})()])
			: outcomeOf(ledger.run(action, send));
	});
	const outcomes = await settle(timers, Promise.all(work));
	table.applyDelayedWrites();
	return {sent, outcomes, runs};
}

test('at most once, and not run is true, whatever the table, the service and crashes do', async t => {
	const property = fc.asyncProperty(fc.record({
		fates,
		results,
		crashes: fc.array(fc.integer({min: -1, max: 6}).filter(calls => calls !== 0), {minLength: 1, maxLength: 4}),
		attempts: fc.integer({min: 1, max: 4}),
		gap: fc.constantFrom(0, 40, 900, 2500, 12_000),
	}), async run => {
		const {sent, outcomes, runs} = await execute(run);
		const isRunOnce = runs <= 1;
		const isNotRunTrue = outcomes.some(outcome => outcome !== Execution.NotRun) || runs === 0;
		// Whoever is told that it was run has the answer of the one run.
		const isRunTrue = !outcomes.includes(Execution.Run) || sent.some(({execution}) => execution === Execution.Run);
		return isRunOnce && isNotRunTrue && isRunTrue;
	});
	await t.notThrowsAsync(async () => fc.assert(property, {seed: seed(), numRuns: 2000}));
});

async function mustNotSend(): Promise<SendResult> {
	throw new Error('it was sent');
}

function newLedger(table: FakeTable, timers = new ManualTimerService()): ActionExecutor {
	return new ActionExecutor(table, timers, 'entry-a', silentLog);
}

function actionWith(attempt: string, fingerprint = 'f') {
	return {
		workspace: 'desks', key: 'k', fingerprint, attempt, deadline: 1000,
	};
}

test('the same key with another body is a conflict', async t => {
	const table = new FakeTable();
	const ledger = newLedger(table);
	await ledger.run(actionWith('1'), async () => ({execution: Execution.Run, answer}));
	const error = await t.throwsAsync(ledger.run(actionWith('2', 'other'), mustNotSend), {instanceOf: Failure});
	t.is(error?.code, ResultCode.ActionConflict);
});

test('a repeated key is answered from the row', async t => {
	const table = new FakeTable();
	const ledger = newLedger(table);
	await ledger.run(actionWith('1'), async () => ({execution: Execution.Run, answer}));
	t.deepEqual(await ledger.run(actionWith('2'), mustNotSend), answer);
	t.is(table.transactions, 3, 'claim, sent and outcome are one write each');
});

test('a table that is down means not run, with a time to come back', async t => {
	const ledger = newLedger(new FakeTable(() => TableCallOutcome.Refused));
	const error = await t.throwsAsync(ledger.run(actionWith('1'), mustNotSend), {instanceOf: Failure});
	t.is(error?.execution, Execution.NotRun);
	t.true((error?.retryAfterSeconds ?? 0) > 0);
});

test('an outcome that the table cannot take is written when it is back', async t => {
	const timers = new ManualTimerService();
	let isDown = false;
	const table = new FakeTable(() => isDown ? TableCallOutcome.Refused : TableCallOutcome.Succeeded);
	const ledger = newLedger(table, timers);
	const first = await settle(timers, ledger.run({...actionWith('1'), deadline: 100_000}, async () => {
		isDown = true;
		return {execution: Execution.Run, answer};
	}));
	t.deepEqual(first, answer);
	t.is(ledger.countPendingOutcomes(), 1);
	isDown = false;
	await settle(timers, ledger.flush(10_000));
	const record = await ledger.findRecord('desks', 'k');
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

test('a repeat at once after not_run finds the action free, also where the table is slow', async t => {
	const timers = new ManualTimerService();
	const table = new SlowTable(timers, 120);
	const action = (attempt: string) => ({
		workspace: 'w', key: 'k', fingerprint: 'f', attempt, deadline: 10_000,
	});
	const first = new ActionExecutor(table, timers, 'a', silentLog);
	const second = new ActionExecutor(table, timers, 'b', silentLog);
	t.is(await outcomeOf(settle(timers, first.run(action('1'), async () => ({execution: Execution.NotRun})))), Execution.NotRun);
	t.is(await outcomeOf(settle(timers, second.run(action('2'), async () => ({execution: Execution.Run, answer})))), Execution.Run);
});

test('while the table is away not_run is answered within a third of a second', async t => {
	const timers = new ManualTimerService();
	const table = new FakeTable();
	const ledger = new ActionExecutor(table, timers, 'a', silentLog);
	const running = ledger.run({
		workspace: 'w', key: 'k', fingerprint: 'f', attempt: '1', deadline: 10_000,
	}, async () => {
		table.nextOutcome = () => TableCallOutcome.Refused;
		return {execution: Execution.NotRun};
	});
	t.is(await outcomeOf(settle(timers, running)), Execution.NotRun);
	t.true(timers.now() <= 350, `${timers.now()} ms`);
});
