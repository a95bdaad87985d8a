import test from 'ava';
import fc from 'fast-check';
import {type Cluster, postControl} from '../harness/cluster.js';
import {HttpModelEngine} from '../src/backends/http-model-engine.js';
import {type LeaseRecord} from '../src/leases/lease-record.js';
import {Lease} from '../src/leases/lease.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {seed} from './support/seed.js';
import {sheetText, startCluster} from './support/start-cluster.js';

const duration = 100;

type Step = {
	readonly process: number;
	readonly pause: number;
	/** Whether writes stay in flight. */
	readonly isSlow: boolean;
	/** Whether the answer to an applied write is lost. */
	readonly isLost: boolean;
};

type LeaseWrite = {
	readonly lease: Lease;
	readonly record: LeaseRecord;
	readonly expected: number;
	readonly sentAt: number;
};

/** Simulates three processes that contend for one lease. */
class LeaseSimulation {
	private readonly leases = [0, 1, 2].map(index => new Lease(`p${index}`, duration));
	private readonly pending: LeaseWrite[] = [];
	private row: {record?: LeaseRecord; version: number} = {version: 0};
	private now = 0;
	private fencing = 0;

	/** Runs a step; returns false if two processes hold the lease or the fencing number decreased. */
	advance({process, pause, isSlow, isLost}: Step): boolean {
		this.now += pause;
		const results = this.pending.splice(0, isSlow ? 0 : this.pending.length).map(write => this.applyWrite(write, false));
		const lease = this.leases[process];
		const record = lease.prepareRecord(this.row, this.now);
		if (record) {
			const write = {
				lease, record, expected: this.row.version, sentAt: this.now,
			};
			if (isSlow) {
				this.pending.push(write);
			} else {
				results.push(this.applyWrite(write, isLost));
			}
		}

		return results.every(Boolean) && this.leases.filter(candidate => candidate.isHeld(this.now)).length <= 1;
	}

	private applyWrite({lease, record, expected, sentAt}: LeaseWrite, isLost: boolean): boolean {
		if (this.row.version !== expected) {
			return true;
		}

		this.row = {record, version: expected + 1};
		const isMonotonic = record.fencing >= this.fencing;
		this.fencing = record.fencing;
		if (!isLost) {
			lease.confirmWrite(record, expected + 1, sentAt);
		}

		return isMonotonic;
	}
}

test('at any time at most one process holds the lease and fencing numbers never decrease, despite pauses and lost answers', t => {
	const step = fc.record({
		process: fc.nat(2), pause: fc.integer({min: 0, max: 60}), isSlow: fc.boolean(), isLost: fc.boolean(),
	});
	const property = fc.property(fc.array(step, {maxLength: 120, size: 'max'}), steps => {
		const simulation = new LeaseSimulation();
		return steps.every(one => simulation.advance(one));
	});
	t.notThrows(() => {
		fc.assert(property, {seed: seed(), numRuns: 2000});
	});
});

async function readVersions(cluster: Cluster): Promise<readonly string[]> {
	const engine = new HttpModelEngine(new ClockTimerService());
	const states = await Promise.all(cluster.backends.map(async ({address}) => engine.readState(address, 500)));
	return states.map(state => state?.version ?? '');
}

test.serial('all servers load a new version of the sheet even if the lease holder is paused, and a late order has no lasting effect', async t => {
	const cluster = await startCluster({entries: 2, engines: 2, records: 0});
	try {
		const submit = async (version: string, seen: number, entry: number) => cluster.createOperatorClient(cluster.entries[entry]).submitSheet.mutate({
			text: sheetText().replace('findings,24,v1', `findings,24,${version}`), seen, planner: 'test', id: version,
		});
		await submit('v2', 1, 0);
		await cluster.waitFor(async () => (await readVersions(cluster)).every(version => version === 'v2'), 30_000); // eslint-disable-line unicorn/no-await-expression-member
		const holder = cluster.entries.find(({program}) => program.errorLines.some(line => line.includes('The lease orders is held')))!;
		const other = cluster.entries.indexOf(holder) === 0 ? 1 : 0;
		holder.program.sendSignal('SIGSTOP');
		await submit('v3', 2, other);
		await cluster.waitFor(async () => (await readVersions(cluster)).every(version => version === 'v3'), 40_000); // eslint-disable-line unicorn/no-await-expression-member
		holder.program.sendSignal('SIGCONT');
		// A late order of the paused holder: an engine that checks fencing numbers refuses it; one that does not gets a new order.
		const engine = new HttpModelEngine(new ClockTimerService());
		const late = {
			model: 'findings', version: 'v2', firstLayer: 0, endLayer: 8, fencing: 1,
		};
		const [first] = cluster.backends;
		t.false(await engine.sendOrder(first.address, late, 500));
		await postControl(first.address, 'faults', {ignoreFencing: true});
		t.true(await engine.sendOrder(first.address, late, 500));
		await cluster.timers.sleep(500);
		await cluster.waitFor(async () => (await readVersions(cluster)).every(version => version === 'v3'), 30_000); // eslint-disable-line unicorn/no-await-expression-member
		const violations = await Promise.all(cluster.entries.map(async entry => cluster.readMetric(entry, 'siskinnotch_invariant_violations')));
		t.deepEqual(violations, [0, 0]);
	} finally {
		await cluster.stop();
	}
});
