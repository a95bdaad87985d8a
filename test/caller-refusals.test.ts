import test, {type ExecutionContext} from 'ava';
import {createConfigurationUpdate} from '../src/configuration/configuration-update.js';
import {
	CallerEntry, calls, newSheet, oldSheet, sheetWithoutInsider,
} from './support/caller-entry.js';
import {TableCallOutcome} from './support/fake-table.js';
import {sheetText} from './support/start-cluster.js';

/** The ways in which an instance hears of version 2, but does not get it. */
const ways: ReadonlyArray<[title: string, hear: (entry: CallerEntry, t: ExecutionContext) => Promise<unknown>]> = [
	['an announcement', async ({handler}) => handler.handleAnnouncement('other', 2)],
	['a probe, while it is fetched', async ({handler, other}) => {
		other.fetch = async () => new Promise(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function
		handler.handleProbe(other.createMessage());
	}],
	['the answer to a probe', async ({handler}) => handler.probeNext()],
	['the table\'s head, while the rows cannot be read', async ({watcher, table}) => {
		const outcomes = [TableCallOutcome.Succeeded];
		table.nextOutcome = () => outcomes.pop() ?? TableCallOutcome.Refused;
		await watcher.poll();
		table.nextOutcome = () => TableCallOutcome.Succeeded;
	}],
	['the conflict of a submitted sheet', async ({submissions}, t) => t.throwsAsync(submissions.submit({
		text: sheetText(), seen: 1, planner: 'p', id: 'own',
	}), {message: /version 2 is in force/v})],
];

for (const [title, hear] of ways) {
	// Guards against proper requests that are turned away for good by an instance which knows that there is a newer sheet but does not have it.
	test(`a newer sheet of which an instance only heard makes it refuse none for good: ${title}`, async t => {
		const entry = await CallerEntry.start(t);
		await entry.accept(2);
		entry.other.version = 2;
		await hear(entry, t);
		await entry.checkRefusesNoneForGood(t);
	});
}

// Guards against the same refusal by an instance to which another one says that it has a still newer sheet.
test('a newer sheet of which an instance only heard makes it refuse none for good: the answer to its own announcement', async t => {
	const entry = await CallerEntry.start(t);
	await entry.accept(2);
	entry.other.version = 3;
	await entry.watcher.poll();
	const responses = await entry.sendAll();
	t.deepEqual(responses.map(({status}) => status), [200, 200, 200, 503, 503, 503]);
});

// Guards against an instance that takes its sheet for the truth because another one, cut off from the table as well, has no newer one.
test('a sheet that no reading of the table confirmed for long makes an instance refuse none for good, though it reaches another one', async t => {
	const entry = await CallerEntry.start(t);
	entry.table.nextOutcome = () => TableCallOutcome.Refused;
	entry.timers.advance(20_000);
	await entry.watcher.poll();
	await entry.handler.probeNext();
	entry.table.nextOutcome = () => TableCallOutcome.Succeeded;
	await entry.checkRefusesNoneForGood(t);
	// The other instance can read the table again, and says so.
	entry.other.tableAge = 100;
	await entry.handler.probeNext();
	const refused = await entry.sendAll();
	t.deepEqual(refused.map(({status}) => status), calls.map(([, status]) => status));
});

// Guards against a refusal by the sheet that was in force when the headers arrived, while the body was on its way.
test('a sheet that arrives before the body of a request decides on the request', async t => {
	const entry = await CallerEntry.start(t);
	await entry.accept(2);
	const [call] = calls[1];
	const response = await entry.send({
		...call,
		async beforeBody() {
			await entry.waitForRequests(1);
			await entry.watcher.poll();
		},
	});
	t.is(response.status, 200);
});

// Guards against a call of a plain service by the sheet that was in force when the headers arrived, while the body was on its way.
test('a sheet that arrives before the body of a call of a plain service decides on the call', async t => {
	const entry = await CallerEntry.start(t);
	await entry.accept(2, sheetWithoutInsider);
	const [call] = calls[4];
	const response = await entry.send({
		...call,
		path: 'services/records/site-history',
		async beforeBody() {
			await entry.waitForRequests(1);
			await entry.watcher.poll();
		},
	});
	t.is(response.status, 401);
	t.is(entry.startedRequests, 0);
});

// Guards against callers that are told to try again although no newer sheet can allow their request.
test('with a sheet that is current, also one that has just arrived from another instance, refusals are final and at once', async t => {
	const entry = await CallerEntry.start(t);
	const refused = await entry.sendAll();
	t.deepEqual(refused.map(({status}) => status), calls.map(([, status]) => status));
	entry.other.version = 2;
	entry.other.fetch = async () => createConfigurationUpdate({version: 1, sheet: oldSheet}, {version: 2, sheet: newSheet});
	await entry.handler.handleAnnouncement('other', 2);
	const responses = await entry.sendAll();
	t.deepEqual(responses.map(({status}) => status), [200, 200, 200, 404, 404, 404]);
});
