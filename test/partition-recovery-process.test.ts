import test from 'ava';
import {PartitionKind} from './support/partition.js';
import {RouterProcess} from './support/router-process.js';

// Guards against streams that break off for good, and one-time requests that fail, because an instance in between stops.
test.serial('an instance that stops or is killed while it carries tunnels costs no stream', async t => {
	const first = await RouterProcess.start(8);
	t.teardown(async () => first.stop());
	const second = await RouterProcess.startBeside(first, 'entry-b');
	t.teardown(async () => second.stop());
	const third = await RouterProcess.startBeside(first, 'entry-c');
	t.teardown(async () => third.stop());
	first.startHeartbeats();
	await Promise.all([first, second, third].map(async router => router.waitUntil(async () => await router.sendForStatus('/drafts/0') === 200 && await router.sendForStatus('/lookups/0') === 200)));
	second.partition(PartitionKind.Reset);
	await Promise.all([1, 2, 3, 4, 5, 6].map(async number => second.send(`/lookups/${number}`)));
	await first.timers.sleep(700);
	for (const stage of first.stages) {
		stage.behaviour.pause = 200;
	}

	for (const signal of ['SIGTERM', 'SIGKILL'] as const) {
		const streams = [1, 2, 3, 4, 5, 6, 7, 8].map(async number => second.send(`/drafts/${signal}-${number}`));
		await first.timers.sleep(300); // eslint-disable-line no-await-in-loop
		third.signal(signal);
		const responses = await Promise.all(streams); // eslint-disable-line no-await-in-loop
		const records = await Promise.all([1, 2, 3, 4, 5, 6, 7, 8].map(async number => second.sendForStatus(`/records/${signal}-${number}`))); // eslint-disable-line no-await-in-loop
		t.true(records.every(status => status === 200));
		t.true(responses.every(({status, isComplete, text}) => status === 200 && isComplete && text.includes('token 5')));
		await third.waitForExit(); // eslint-disable-line no-await-in-loop
		if (signal === 'SIGTERM') {
			await third.startRouter(); // eslint-disable-line no-await-in-loop
			await first.timers.sleep(1500); // eslint-disable-line no-await-in-loop
		}
	}
});

for (const kind of [PartitionKind.Silent, PartitionKind.Reset]) {
	// Guards against servers that are avoided, or held for ended, after no instance could reach them.
	test.serial(`after all instances were partitioned (${kind}) they serve again soon, and none holds a server for ended`, async t => {
		const first = await RouterProcess.start(8);
		t.teardown(async () => first.stop());
		const second = await RouterProcess.startBeside(first, 'entry-b');
		t.teardown(async () => second.stop());
		first.startHeartbeats();
		const routers = [first, second];
		await Promise.all(routers.map(async router => router.waitUntil(async () => await router.sendForStatus('/drafts/0') === 200 && await router.sendForStatus('/lookups/0') === 200)));
		for (const router of routers) {
			router.partition(kind);
		}

		const sendAll = (router: RouterProcess, number: number) => ['drafts', 'lookups', 'records'].map(async kind => router.sendForStatus(`/${kind}/${number}`));
		const load = async () => Promise.all(routers.flatMap(router => [1, 2, 3, 4].flatMap(number => sendAll(router, number))));
		for (let round = 0; round < 3; round++) {
			await load(); // eslint-disable-line no-await-in-loop
		}

		for (const router of routers) {
			router.partition(PartitionKind.None);
		}

		await first.timers.sleep(1200);
		const after = await load();
		t.true(after.every(status => status === 200));
		for (const event of ['server.crashed', 'prompt.quarantined']) {
			t.false(routers.some(router => router.logLines.some(line => line.includes(`"${event}"`))));
		}
	});
}
