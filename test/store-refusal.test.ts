import test, {type ExecutionContext} from 'ava';
import {StoreAccess, type StoreCall} from '../src/replication/store-access.js';
import {TableName} from '../src/replication/table-name.js';
import {RandomSource} from '../src/routing/random-source.js';
import {ControlFleet, type FleetInstance} from './support/control-fleet.js';

const settlingMs = 12_000;
const refusalMs = 9000;
const measuredMs = 20_000;
const checkIntervalMs = 100;
/** Interval between changes of the server list and the configuration. */
const changeIntervalMs = 5000;

async function startFleet(): Promise<ControlFleet> {
	const fleet = new ControlFleet(93, 3, 99);
	fleet.start();
	await fleet.elapse(settlingMs);
	fleet.resetCounters();
	return fleet;
}

/** What instances see of the store while it refuses some of them. */
type Outcome = {
	/** Largest age of a copy of the configuration, in milliseconds. */
	configurationAge: number;
	/** Longest time from a change of the configuration and of a server until each instance knew both, in milliseconds. */
	changeDelay: number;
};

function knowsChange({directory, control}: FleetInstance, id: string): boolean {
	return directory.all().some(server => server.id === id && server.isLeaving) && control.tables.get(TableName.Catalog).get('config')?.text === id;
}

function isKnownEverywhere(fleet: ControlFleet, id: string): boolean {
	return fleet.instances.every(instance => knowsChange(instance, id));
}

/** Lets time pass while servers leave one after the other; the store serves all instances again after a while. */
async function observe(t: ExecutionContext, fleet: ControlFleet): Promise<Outcome> {
	const outcome: Outcome = {configurationAge: 0, changeDelay: 0};
	const ids = fleet.instances[0].directory.all().map(({id}) => id);
	let changedAt = 0;
	let id = '';
	for (let passed = 0; passed < measuredMs; passed += checkIntervalMs) {
		if (passed === refusalMs) {
			fleet.store.refused.clear();
		}

		if (passed % changeIntervalMs === 0) {
			id = ids[passed / changeIntervalMs];
			changedAt = passed;
			fleet.store.put('servers', id, 'draining');
			fleet.store.put('catalog', 'config', id);
		}

		await fleet.elapse(checkIntervalMs); // eslint-disable-line no-await-in-loop
		if (!isKnownEverywhere(fleet, id)) {
			outcome.changeDelay = Math.max(outcome.changeDelay, passed + checkIntervalMs - changedAt);
		}

		const ages = fleet.instances.map(({control}) => fleet.timers.now() - control.tables.get(TableName.Catalog).confirmation.confirmedAt);
		outcome.configurationAge = Math.max(outcome.configurationAge, ...ages);
	}

	t.log(`${fleet.store.calls} calls; configuration confirmed ${outcome.configurationAge} ms ago at most; changes unknown for ${outcome.changeDelay} ms at most`);
	return outcome;
}

// Guards against refused instances that go on asking, and against copies that get old because of fewer calls. Before instances took turns, this run took 624 calls; a store that refuses nobody gets 156.
test.serial('a third of 93 instances, with all readers, is refused for 9 s: a third of the calls, and changes arrive in time', async t => {
	const fleet = await startFleet();
	const readersFirst = fleet.instances.toSorted((left, right) => Number(right.control.isStoreReader()) - Number(left.control.isStoreReader()));
	for (const {id} of readersFirst.slice(0, 31)) {
		fleet.store.refused.add(id);
	}

	const {configurationAge, changeDelay} = await observe(t, fleet);
	t.true(fleet.store.calls <= 624 / 3, `${fleet.store.calls} calls`);
	t.true(configurationAge <= 5500, `${configurationAge} ms; 5500 ms before`);
	t.true(changeDelay <= 2000, `${changeDelay} ms`);
});

// Guards against a zone that waits for its copies to get old before others read.
test.serial('the readers of one zone are refused: the next ones take over at once, and the readers again afterwards', async t => {
	const fleet = await startFleet();
	const readers = fleet.instances.filter(({control}) => control.isStoreReader());
	for (const {id, address} of readers) {
		if (address.startsWith('10.0.1.')) {
			fleet.store.refused.add(id);
		}
	}

	const {changeDelay} = await observe(t, fleet);
	t.true(changeDelay <= 2000, `${changeDelay} ms`);
	t.true(fleet.store.calls <= 234, `${fleet.store.calls} calls; 234 before`);
	t.deepEqual(fleet.instances.filter(({control}) => control.isStoreReader()), readers);
});

// Guards against a fleet in which each instance probes a store that is down, and against one that notices its return late. Before, 20 s of which it refused 9 took 1577 calls.
test.serial('the store refuses all 93 instances for 9 s: few probes, and its return is known everywhere within 2 s', async t => {
	const fleet = await startFleet();
	fleet.store.refused.add('all');
	await fleet.elapse(refusalMs);
	t.log(`${fleet.store.calls} calls`);
	t.true(fleet.store.calls <= 150, `${fleet.store.calls} calls`);
	const {id} = fleet.instances[0].directory.all()[0];
	fleet.store.put('servers', id, 'draining');
	fleet.store.put('catalog', 'config', id);
	fleet.store.refused.clear();
	const elapsed = await fleet.measureUntil(() => isKnownEverywhere(fleet, id), 10_000);
	t.log(`known after ${elapsed} ms`);
	t.true(elapsed <= 2000, `${elapsed} ms`);
});

test('while the store refuses an instance, one call at a time probes it, less and less often', t => {
	const changes: boolean[] = [];
	const access = new StoreAccess(new RandomSource(1), {retryPause: 700, maxRetryPause: 5000, quickAttempts: 5}, {
		isLackingCopy: () => false,
		onChange(isRefused) {
			changes.push(isRefused);
		},
	});
	const calls = [access.begin(0)!, access.begin(0)!];
	access.recordFailure(calls[0], 10);
	access.recordFailure(calls[1], 20);
	t.deepEqual(changes, [true], 'calls that were under way together count once');
	const probedAt: number[] = [];
	const secondCalls: Array<StoreCall | undefined> = [];
	let probe: StoreCall | undefined;
	for (let now = 20; now < 60_000; now += 10) {
		probe = access.begin(now);
		if (probe) {
			probedAt.push(now);
			secondCalls.push(access.begin(now));
			access.recordFailure(probe, now);
		}
	}

	const pauses = probedAt.slice(1).map((at, index) => at - probedAt[index]);
	t.true(secondCalls.every(call => call === undefined));
	t.true(probedAt[0] <= 710 && Math.max(...pauses) > 2500 && Math.max(...pauses) <= 5010, `pauses of ${pauses.join(', ')} ms`);
	access.recordAnswer({startedAt: 0, isProbe: false}, 60_000);
	t.true(access.isRefused, 'an answer to a call from before the refusal');
	access.expectAnswer(60_000);
	access.recordAnswer(access.begin(60_700)!, 60_710);
	t.false(access.isRefused);
	t.false(access.begin(60_710)!.isProbe);
});
