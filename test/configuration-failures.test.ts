import test from 'ava';
import {type Cluster, control, type Entry} from '../harness/cluster.js';
import {sheetText, startCluster} from './support/start-cluster.js';

async function withCluster(entries: number, work: (cluster: Cluster) => Promise<void>): Promise<void> {
	const cluster = await startCluster({entries, engines: 0, records: 0});
	try {
		await work(cluster);
	} finally {
		await cluster.stop();
	}
}

async function submit(cluster: Cluster, entry: Entry, share: number, id = `submission-${share}`) {
	return cluster.operator(entry).submitSheet.mutate({
		text: sheetText({share}), seen: 1, planner: id, id,
	});
}

async function versionOf(cluster: Cluster, entry: Entry): Promise<number> {
	return cluster.metric(entry, 'siskinnotch_configuration_version');
}

test.serial('two planners at once: one wins, the other is told by whom and with which rows', async t => {
	await withCluster(2, async cluster => {
		const replies = await Promise.all(cluster.entries.map(async (entry, index) => submit(cluster, entry, 50 + index)));
		const failures = replies.flatMap(reply => 'failure' in reply ? [reply.failure.message] : []);
		t.is(failures.length, 1);
		t.regex(failures[0], /version 2 by submission-5[01] changed workspace large/v);
	});
});

test.serial('an accepted write whose answer was lost is accepted, once', async t => {
	await withCluster(2, async cluster => {
		await control(cluster.platform, 'faults', {loseAnswers: 1});
		const reply = await submit(cluster, cluster.entries[0], 55);
		t.true('value' in reply && reply.value.version === 2 && !reply.value.isUnchanged);
		const again = await submit(cluster, cluster.entries[1], 55, 'again');
		t.true('value' in again && again.value.version === 2 && again.value.isUnchanged);
	});
});

test.serial('an accepted sheet is in force everywhere within 7 s, by peers, while some cannot reach the table', async t => {
	await withCluster(3, async cluster => {
		const begin = cluster.timers.now();
		await submit(cluster, cluster.entries[0], 55);
		await control(cluster.platform, 'faults', {isDown: true});
		await cluster.waitFor(async () => {
			const versions = await Promise.all(cluster.entries.map(async entry => versionOf(cluster, entry)));
			return versions.every(version => version === 2);
		}, 7000);
		t.true(cluster.timers.now() - begin < 7000);
	});
});

test.serial('a sheet that cannot be written is refused; the old one stays in force and work goes on', async t => {
	await withCluster(2, async cluster => {
		await control(cluster.platform, 'faults', {isDown: true});
		const reply = await submit(cluster, cluster.entries[0], 55);
		t.true('failure' in reply);
		await cluster.timers.sleep(6000);
		for (const entry of cluster.entries) {
			t.is(await versionOf(cluster, entry), 1); // eslint-disable-line no-await-in-loop
			t.true(await cluster.answers(entry, 'ready')); // eslint-disable-line no-await-in-loop
		}
	});
});

test.serial('an instance that starts in an outage learns from its seeds; without one it is not ready', async t => {
	await withCluster(1, async cluster => {
		await control(cluster.platform, 'faults', {isDown: true});
		const lonely = await cluster.startEntry('entry-x');
		const taught = await cluster.startEntry('entry-y', {peers: {seeds: cluster.entries[0].peers}});
		await cluster.waitFor(async () => await versionOf(cluster, taught) === 1);
		t.is(await versionOf(cluster, lonely), -1);
		t.false(await cluster.answers(lonely, 'ready'));
		await control(cluster.platform, 'faults', {isDown: false});
		await cluster.waitFor(async () => cluster.answers(lonely, 'ready'));
	});
});

test.serial('an instance that wakes from a pause takes no work before its configuration is confirmed', async t => {
	await withCluster(2, async cluster => {
		const [sleeper, other] = cluster.entries;
		sleeper.program.signal('SIGSTOP');
		await submit(cluster, other, 55);
		await cluster.timers.sleep(6000);
		// The woken instance finds neither the table nor its peer.
		await control(cluster.platform, 'faults', {isDown: true});
		other.program.signal('SIGSTOP');
		sleeper.program.signal('SIGCONT');
		for (let look = 0; look < 10; look++) {
			t.false(await cluster.answers(sleeper, 'ready')); // eslint-disable-line no-await-in-loop
			await cluster.timers.sleep(100); // eslint-disable-line no-await-in-loop
		}

		other.program.signal('SIGCONT');
		await control(cluster.platform, 'faults', {isDown: false});
		await cluster.waitFor(async () => cluster.answers(sleeper, 'ready'));
		t.is(await versionOf(cluster, sleeper), 2);
	});
});

test.serial('an instance cut off from table and peers stops taking work', async t => {
	await withCluster(2, async cluster => {
		await control(cluster.platform, 'faults', {isDown: true});
		await cluster.entries[1].program.kill();
		await t.notThrowsAsync(cluster.waitFor(async () => !await cluster.answers(cluster.entries[0], 'ready'), 12_000));
	});
});
