import test from 'ava';
import {TableName} from '../src/replication/table-name.js';
import {RandomSource} from '../src/routing/random-source.js';
import {ControlFleet, type FleetInstance} from './support/control-fleet.js';

const settlingMs = 12_000;
/** The shortest time on the users' sites in which a configuration must be in force everywhere. */
const configurationTimeMs = 2000;
/** A link of 20 Mbit/s, the slowest of the site, and the time limit of a call between instances. */
const network = {bytesPerSecond: 2_500_000, callTimeout: 400};
const random = new RandomSource(29);
const sampleRoute = {
	kind: 'idempotent', timeout: 20_000, latencyTarget: 500, priority: 1, targets: [{service: 'model', weight: 1}], maxExecutions: 2, isAnonymous: false, isResumable: true, callerIdleTimeout: 2000,
};

function createName(): string {
	return `n${random.nextInteger(0x7F_FF_FF_FF).toString(36)}`;
}

/** Returns the text of a configuration with this number of routes. */
function createConfiguration(routes: number): string {
	return JSON.stringify({
		version: 1,
		routes: Array.from({length: routes}, () => ({
			...sampleRoute, name: createName(), host: `${createName()}.example`, pathPrefix: `/${createName()}/`,
		})),
		workspaces: Array.from({length: 24}, () => ({name: createName(), keys: [createName(), createName()]})),
	});
}

async function publish(fleet: ControlFleet, text: string): Promise<number> {
	fleet.store.put('catalog', 'config', text);
	const hasText = ({control}: FleetInstance) => [...control.tables.get(TableName.Catalog).all()][0].text === text;
	return fleet.measureUntil(() => fleet.running.every(instance => hasText(instance)), 2 * configurationTimeMs);
}

// Guards against routes that most instances do not know for seconds, because the rows of a large configuration never get through to them.
test.serial('a configuration of 2,000 routes reaches 72 instances with slow links in time, and so does each change of it', async t => {
	const fleet = new ControlFleet(72, 3, 93, network);
	fleet.start();
	await fleet.elapse(settlingMs);
	const text = createConfiguration(2000);
	const whole = await publish(fleet, text);
	t.log(`${whole} ms`);
	t.true(whole <= configurationTimeMs, `whole: ${whole} ms`);
	for (let change = 2; change <= 4; change++) {
		const elapsed = await publish(fleet, text.replace('"version":1', `"version":${change}`)); // eslint-disable-line no-await-in-loop
		t.true(elapsed <= configurationTimeMs, `change ${change}: ${elapsed} ms`);
	}
});

// Guards against links that are full for as long as a large configuration goes on changing.
test.serial('a small change of a large configuration costs an instance a small fraction of its size', async t => {
	const fleet = new ControlFleet(72, 3, 93);
	fleet.start();
	await fleet.elapse(settlingMs);
	const text = createConfiguration(2000);
	await publish(fleet, text);
	await fleet.elapse(2000);
	fleet.resetCounters();
	await publish(fleet, text.replace('"version":1', '"version":2'));
	const mostBytes = Math.max(...fleet.instances.map(({bytesSent}) => bytesSent));
	t.log(`${mostBytes} bytes`);
	t.true(mostBytes <= text.length / 10, `${mostBytes} bytes of one instance, ${text.length} characters`);
});

// Guards against an instance that starts while a large configuration is in force and gets no request right.
test.serial('an instance that starts, or that was cut off, gets a large configuration from the others in time', async t => {
	const fleet = new ControlFleet(72, 3, 93, network);
	const late = fleet.instances.slice(-12);
	for (const instance of late) {
		instance.isStopped = true;
		fleet.store.refused.add(instance.id);
	}

	fleet.start();
	await fleet.elapse(settlingMs);
	const text = createConfiguration(2000);
	fleet.store.put('catalog', 'config', text);
	await fleet.elapse(2 * configurationTimeMs);
	for (const instance of late) {
		instance.isStopped = false;
	}

	const hasText = ({control}: FleetInstance) => [...control.tables.get(TableName.Catalog).all()].some(row => row.text === text);
	const elapsed = await fleet.measureUntil(() => late.every(instance => hasText(instance)), 2 * configurationTimeMs);
	t.log(`${elapsed} ms`);
	t.true(elapsed <= configurationTimeMs, `${elapsed} ms`);
});

// Guards against one slow instance that keeps others, for as long as a whole call may take, from a configuration which all their other neighbours have.
test.serial('a reader of the store in each availability zone whose answers trickle does not keep the others from a large configuration', async t => {
	const fleet = new ControlFleet(24, 3, 9, {...network, callTimeout: 5000});
	fleet.start();
	await fleet.elapse(settlingMs);
	const readers = fleet.instances.filter(({control}) => control.isStoreReader());
	const slow = readers.filter(({address}, index) => readers.findIndex(other => other.address.split('.')[2] === address.split('.')[2]) === index);
	for (const reader of slow) {
		reader.bytesPerSecond = 30_000;
	}

	// Hardly compressible.
	const text = Array.from({length: 15_000}, (_, index) => ((index * 2_654_435_761) % 4_294_967_296).toString(36)).join('');
	fleet.store.put('catalog', 'config', text);
	const others = fleet.instances.filter(instance => !slow.includes(instance));
	const elapsed = await fleet.measureUntil(() => others.every(({control}) => control.tables.get(TableName.Catalog).get('config')?.text === text), 2 * configurationTimeMs);
	t.log(`${elapsed} ms`);
	t.true(elapsed <= configurationTimeMs, `${elapsed} ms`);
});
