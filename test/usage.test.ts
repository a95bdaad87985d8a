import test from 'ava';
import {Priority} from '../src/configuration/priority.js';
import {RowKind} from '../src/configuration/row-kind.js';
import {type Workspace} from '../src/configuration/sheet-row.js';
import {Invariants} from '../src/observation/invariants.js';
import {ManualTimerService} from '../src/time/manual-timer-service.js';
import {UsageMeter} from '../src/usage/usage-meter.js';
import {windowMs} from '../src/usage/usage-record.js';
import {FakeTable} from './support/fake-table.js';
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
