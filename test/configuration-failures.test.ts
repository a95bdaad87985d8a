import test from 'ava';
import {type Cluster, postControl, type EntryProcess} from '../harness/cluster.js';
import {sheetText, startCluster} from './support/start-cluster.js';

async function withCluster(entries: number, work: (cluster: Cluster) => Promise<void>): Promise<void> {
	const cluster = await startCluster({entries, engines: 0, records: 0});
	try {
		await work(cluster);
	} finally {
		await cluster.stop();
	}
}

async function submit(cluster: Cluster, entry: EntryProcess, share: number, id = `submission-${share}`) {
	return cluster.createOperatorClient(entry).submitSheet.mutate({
		text: sheetText({share}), seen: 1, planner: id, id,
	});
}

async function readVersion(cluster: Cluster, entry: EntryProcess): Promise<number> {
	return cluster.readMetric(entry, 'siskinnotch_configuration_version');
}

test.serial('two concurrent submissions: one is accepted, and the other is told which planner changed which rows', async t => {
	await withCluster(2, async cluster => {
		const replies = await Promise.all(cluster.entries.map(async (entry, index) => submit(cluster, entry, 50 + index)));
		const failures = replies.flatMap(reply => 'failure' in reply ? [reply.failure.message] : []);
		t.is(failures.length, 1);
		t.regex(failures[0], /version 2 by submission-5[01] changed workspace large/v);
	});
});

test.serial('an accepted write whose answer was lost is accepted exactly once', async t => {
	await withCluster(2, async cluster => {
		await postControl(cluster.platformAddress, 'faults', {loseAnswers: 1});
		const reply = await submit(cluster, cluster.entries[0], 55);
		t.true('value' in reply && reply.value.version === 2 && !reply.value.isUnchanged);
		const again = await submit(cluster, cluster.entries[1], 55, 'again');
		t.true('value' in again && again.value.version === 2 && again.value.isUnchanged);
	});
});

test.serial('an accepted sheet reaches every instance within 7 s through peers while the table is down', async t => {
	await withCluster(3, async cluster => {
		const begin = cluster.timers.now();
		await submit(cluster, cluster.entries[0], 55);
		await postControl(cluster.platformAddress, 'faults', {isDown: true});
		await cluster.waitFor(async () => {
			const versions = await Promise.all(cluster.entries.map(async entry => readVersion(cluster, entry)));
			return versions.every(version => version === 2);
		}, 7000);
		t.true(cluster.timers.now() - begin < 7000);
	});
});

test.serial('a sheet that cannot be written is rejected, and all instances stay ready with the old one', async t => {
	await withCluster(2, async cluster => {
		await postControl(cluster.platformAddress, 'faults', {isDown: true});
		const reply = await submit(cluster, cluster.entries[0], 55);
		t.true('failure' in reply);
		await cluster.timers.sleep(6000);
		for (const entry of cluster.entries) {
			t.is(await readVersion(cluster, entry), 1); // eslint-disable-line no-await-in-loop
			t.true(await cluster.isResponding(entry, 'ready')); // eslint-disable-line no-await-in-loop
		}
	});
});

test.serial('an instance that starts in an outage loads its configuration from seeds; without seeds it is not ready', async t => {
	await withCluster(1, async cluster => {
		await postControl(cluster.platformAddress, 'faults', {isDown: true});
		const unseeded = await cluster.startEntry('entry-x');
		const seeded = await cluster.startEntry('entry-y', {peers: {seeds: cluster.entries[0].peerAddress}});
		await cluster.waitFor(async () => await readVersion(cluster, seeded) === 1);
		t.is(await readVersion(cluster, unseeded), -1);
		t.false(await cluster.isResponding(unseeded, 'ready'));
		await postControl(cluster.platformAddress, 'faults', {isDown: false});
		await cluster.waitFor(async () => cluster.isResponding(unseeded, 'ready'));
	});
});

test.serial('an instance that resumes after a pause is not ready until its configuration is confirmed', async t => {
	await withCluster(2, async cluster => {
		const [paused, other] = cluster.entries;
		paused.program.sendSignal('SIGSTOP');
		await submit(cluster, other, 55);
		await cluster.timers.sleep(6000);
		// The resumed instance can reach neither the table nor its peer.
		await postControl(cluster.platformAddress, 'faults', {isDown: true});
		other.program.sendSignal('SIGSTOP');
		paused.program.sendSignal('SIGCONT');
		for (let check = 0; check < 10; check++) {
			t.false(await cluster.isResponding(paused, 'ready')); // eslint-disable-line no-await-in-loop
			await cluster.timers.sleep(100); // eslint-disable-line no-await-in-loop
		}

		other.program.sendSignal('SIGCONT');
		await postControl(cluster.platformAddress, 'faults', {isDown: false});
		await cluster.waitFor(async () => cluster.isResponding(paused, 'ready'));
		t.is(await readVersion(cluster, paused), 2);
	});
});

test.serial('an instance that is cut off from the table and its peers becomes not ready', async t => {
	await withCluster(2, async cluster => {
		await postControl(cluster.platformAddress, 'faults', {isDown: true});
		await cluster.entries[1].program.kill();
		await t.notThrowsAsync(cluster.waitFor(async () => !await cluster.isResponding(cluster.entries[0], 'ready'), 12_000));
	});
});
