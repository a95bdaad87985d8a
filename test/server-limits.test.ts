import test from 'ava';
import fc from 'fast-check';
import {type SharingInstance} from '../src/backpressure/limit-share.js';
import {type ServerLimits} from '../src/backpressure/server-limits.js';
import {RandomSource} from '../src/routing/random-source.js';
import {ControlFleet} from './support/control-fleet.js';
import {sampleBackpressure} from './support/sample-backpressure.js';
import {sampleServer} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

const server = sampleServer('limited', '', undefined, {service: 'records', availabilityZone: 'zone-0'});
const windowMs = 4000;
/** A server may get this multiple of its limit, and `toleratedRequests` beyond, in each window. */
const toleratedMultiple = 1.5;
const toleratedRequests = 5;
const stepMs = 20;
const durationMs = 30_000;

function countTolerated(perSecond: number): number {
	return (toleratedMultiple * perSecond * windowMs / 1000) + toleratedRequests;
}

/** Returns the largest number of times in a window. */
function countBusiestWindow(times: readonly number[]): number {
	let first = 0;
	let most = 0;
	for (const [last, time] of times.entries()) {
		while (times[first] <= time - windowMs) {
			first++;
		}

		most = Math.max(most, last - first + 1);
	}

	return most;
}

/** The instances that share the limit of one server, each with its own view of the others. */
class SharingFleet {
	readonly sentAt: number[] = [];
	private readonly limits = new Map<string, ServerLimits>();

	constructor(readonly instances: readonly SharingInstance[]) {}

	/** Starts an instance that knows those of a view. */
	start(id: string, view: readonly SharingInstance[], perSecond: number, now: number): void {
		const {limits} = sampleBackpressure(id, view);
		limits.observe(server, {perSecond, sentAt: now}, now);
		this.limits.set(id, limits);
	}

	/** Lets an instance send as many of the requests as its share allows. */
	offer(id: string, requests: number, now: number): void {
		const limits = this.limits.get(id)!;
		for (let request = 0; request < requests && limits.allows(server, now); request++) {
			limits.recordRequest(server, now);
			this.sentAt.push(now);
		}
	}
}

function createInstances(count: number, zones: number): readonly SharingInstance[] {
	return Array.from({length: count}, (_, index) => ({id: `entry-${index}`, availabilityZone: `zone-${index % zones}`}));
}

function createFleet(count: number, zones: number, perSecond: number): SharingFleet {
	const fleet = new SharingFleet(createInstances(count, zones));
	for (const {id} of fleet.instances) {
		fleet.start(id, fleet.instances, perSecond, 0);
	}

	return fleet;
}

// Guards against instances that each keep a limit by themselves, and together send a multiple of it.
test('all instances together keep the limit of a server, whatever its height, their number and their load', t => {
	const scenario = fc.record({
		count: fc.constantFrom(1, 2, 7, 30, 195),
		zones: fc.constantFrom(1, 3, 24),
		perSecond: fc.oneof(fc.constantFrom(0, 0.1), fc.double({min: 0.2, max: 60, noNaN: true})),
		load: fc.double({min: 0.2, max: 20, noNaN: true}),
		pause: fc.constantFrom(0, 3000, 9000),
		randomSeed: fc.nat(),
	});
	const check = fc.check(fc.property(scenario, ({count, zones, perSecond, load, pause, randomSeed}) => {
		const fleet = createFleet(count, zones, perSecond);
		const random = new RandomSource(randomSeed);
		const chance = load * Math.max(1, perSecond) * stepMs / 1000 / count;
		for (let now = 0; now < durationMs; now += stepMs) {
			// After a pause all instances have requests at the same moment.
			const isBurst = pause > 0 && now % pause === 0;
			const isIdle = pause > 0 && now % pause < pause / 2;
			for (const {id} of fleet.instances) {
				if (isBurst) {
					fleet.offer(id, 20, now);
				} else if (!isIdle && random.nextFraction() < chance) {
					fleet.offer(id, 1, now);
				}
			}
		}

		return countBusiestWindow(fleet.sentAt) <= countTolerated(perSecond);
	}), {seed: seed(), numRuns: 60});
	t.false(check.failed, `exceeded in the scenario ${JSON.stringify(check.counterexample)}`);
});

// Guards against shares that are so small or so rarely of use that a server gets far less than it accepts.
test('under load the instances together use most of what a limit allows', t => {
	for (const [count, zones, perSecond] of [[1, 1, 4], [7, 3, 1.2], [7, 3, 12], [195, 24, 10]]) {
		const fleet = createFleet(count, zones, perSecond);
		for (let now = 0; now < durationMs; now += stepMs) {
			for (const {id} of fleet.instances) {
				fleet.offer(id, 1, now);
			}
		}

		const expected = perSecond * durationMs / 1000;
		t.true(fleet.sentAt.length >= 0.8 * expected, `${fleet.sentAt.length} of ${expected} requests at ${count} instances`);
	}
});

// Guards against a limit that is exceeded while new instances are known to some instances and not yet to others.
test('the limit is kept while instances join and leave, and some learn of it late', t => {
	const perSecond = 6;
	const fleet = createFleet(7, 3, perSecond);
	const joined = createInstances(10, 3).slice(7);
	for (let now = 0; now < durationMs; now += stepMs) {
		if (now === 10_000) {
			for (const {id} of joined) {
				fleet.start(id, [...fleet.instances, ...joined], perSecond, now);
			}
		}

		for (const {id} of [...fleet.instances, ...(now >= 10_000 ? joined : [])]) {
			fleet.offer(id, 1, now);
		}
	}

	t.true(countBusiestWindow(fleet.sentAt) <= countTolerated(perSecond));
});

test('a limit is lifted by a response without it, unless its request was sent before the server last named one', t => {
	const {limits} = sampleBackpressure();
	limits.observe(server, {perSecond: 1, sentAt: 0}, 100);
	limits.recordRequest(server, 100);
	limits.recordRequest(server, 100);
	limits.recordRequest(server, 100);
	t.false(limits.allows(server, 100));
	limits.observe(server, {sentAt: 50}, 150);
	t.false(limits.allows(server, 150), 'a response that overtook the limit');
	limits.observe(server, {sentAt: 160}, 200);
	t.true(limits.allows(server, 200));
});

// Guards against a limit that is forgotten with its server's response, and against one that outlives the server.
test('a limit holds without further responses, and not for the next incarnation of the server', t => {
	const {limits} = sampleBackpressure();
	limits.observe(server, {perSecond: 0.5, sentAt: 0}, 0);
	for (let request = 0; request < 3; request++) {
		limits.recordRequest(server, 0);
	}

	t.false(limits.allows(server, 1000));
	t.true(limits.allows({...server, startedAt: 2}, 1000));
	limits.retain([], 1000);
	t.is(limits.size, 0);
});

test('an instance that does not know the others sends nothing to a limited server', t => {
	const {limits} = sampleBackpressure('entry-a', []);
	limits.observe(server, {perSecond: 10, sentAt: 0}, 0);
	t.is(limits.computeDelay(server, 0), Number.POSITIVE_INFINITY);
});

/** A fleet whose instances have found one another. */
async function startControlFleet(size: number): Promise<ControlFleet> {
	const fleet = new ControlFleet(size, 3, 6);
	fleet.start();
	await fleet.elapse(8000);
	return fleet;
}

function knowLimit(fleet: ControlFleet, perSecond: number | undefined): boolean {
	return fleet.running.every(({serverLimits}) => serverLimits.findStatements().some(statement => statement.incarnationId === 'limited@1' && statement.perSecond === perSecond));
}

// Guards against an instance that exceeds a limit because it restarts, joins or was cut off when the server named or lifted it.
test('a limit and its end reach all instances, also those that were cut off when they were news', async t => {
	const fleet = await startControlFleet(12);
	const [first] = fleet.instances;
	const cutOff = fleet.instances.at(-1)!;
	const {timers} = fleet;
	cutOff.isStopped = true;
	first.serverLimits.observe(server, {perSecond: 5, sentAt: timers.now()}, timers.now());
	t.true(await fleet.measureUntil(() => knowLimit(fleet, 5), 2000) <= 1000);
	await fleet.elapse(6000);
	cutOff.isStopped = false;
	t.true(await fleet.measureUntil(() => knowLimit(fleet, 5), 6000) <= 5000);
	first.serverLimits.observe(server, {sentAt: timers.now()}, timers.now() + 1);
	t.true(await fleet.measureUntil(() => knowLimit(fleet, undefined), 2000) <= 1000);
});

test('an instance that joins learns the limits with its first exchange', async t => {
	const fleet = await startControlFleet(8);
	const [first, second] = fleet.instances;
	for (let index = 0; index < 100; index++) {
		first.serverLimits.observe({...server, id: `server-${index}`}, {perSecond: index, sentAt: fleet.timers.now()}, fleet.timers.now());
	}

	await fleet.elapse(20_000);
	second.serverLimits.retain([], fleet.timers.now());
	t.is(second.serverLimits.size, 0);
	await Promise.all([second.control.gossip.join([first.address]), fleet.elapse(100)]);
	t.is(second.serverLimits.size, 100);
});

// Guards against messages that carry a lifted limit for ever, since the instances remind one another of it.
test('a lifted limit is forgotten by all instances after a while, also while its server answers', async t => {
	const fleet = await startControlFleet(6);
	const {timers} = fleet;
	const [first] = fleet.instances;
	first.serverLimits.observe(server, {perSecond: 5, sentAt: timers.now()}, timers.now());
	await fleet.elapse(2000);
	for (let second = 0; second < 130; second++) {
		for (const {serverLimits} of fleet.instances) {
			serverLimits.observe(server, {sentAt: timers.now()}, timers.now() + 1);
			serverLimits.retain([server], timers.now());
		}

		await fleet.elapse(1000); // eslint-disable-line no-await-in-loop
	}

	t.deepEqual(fleet.instances.map(({serverLimits}) => serverLimits.findStatements().length), [0, 0, 0, 0, 0, 0]);
});
