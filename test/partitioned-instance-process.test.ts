import test, {type ExecutionContext} from 'ava';
import {PartitionKind} from './support/partition.js';
import {RouterProcess, type CallerResponse} from './support/router-process.js';

const events = [1, 2, 3, 4, 5].map(id => `id: ${id}\ndata: token ${id}\n\n`).join('');
const stageCount = 8;
/** For an instance to notice that it is partitioned, or no longer; less than any of the users' sites allows. */
const noticeMs = 1500;
/** Requests of each kind, sent one after the other. */
const requests = 6;

/** Two instances that are partitioned from the backend servers, as many as it takes to make the others suspect a server, and one that is not. */
class Fleet {
	static async start(t: ExecutionContext): Promise<Fleet> {
		const first = await RouterProcess.start(stageCount);
		t.teardown(async () => first.stop());
		const routers = [first];
		for (const id of ['entry-b', 'entry-c']) {
			const router = await RouterProcess.startBeside(first, id); // eslint-disable-line no-await-in-loop
			t.teardown(async () => router.stop());
			routers.push(router);
		}

		first.startHeartbeats();
		const fleet = new Fleet(routers.slice(1), first);
		await Promise.all(routers.map(async router => router.waitUntil(async () => await router.sendForStatus('/drafts/0') === 200 && await router.sendForStatus('/lookups/0') === 200)));
		return fleet;
	}

	private constructor(readonly partitioned: readonly RouterProcess[], readonly connected: RouterProcess) {}

	partition(kind: PartitionKind): void {
		for (const router of this.partitioned) {
			router.partition(kind);
		}
	}

	async elapse(duration: number): Promise<void> {
		await this.connected.timers.sleep(duration);
	}

	/** Sends requests of all kinds to an instance while the others are used too. */
	async load(router: RouterProcess): Promise<readonly CallerResponse[]> {
		const responses: CallerResponse[] = [];
		for (let number = 1; number <= requests; number++) {
			// eslint-disable-next-line no-await-in-loop
			responses.push(...await Promise.all([router.send(`/drafts/${number}`), router.send(`/lookups/${number}`), router.send(`/records/${number}`)]));
		}

		return responses;
	}

	async loadAll(): Promise<{readonly partitioned: readonly CallerResponse[]; readonly connected: readonly CallerResponse[]}> {
		const [connected, ...partitioned] = await Promise.all([this.connected, ...this.partitioned].map(async router => this.load(router)));
		return {connected, partitioned: partitioned.flat()};
	}

	/** Log lines of an event that an instance wrote. */
	findLines(router: RouterProcess, event: string): readonly string[] {
		return router.logLines.filter(line => line.includes(`"${event}"`));
	}
}

function countServed(responses: readonly CallerResponse[]): number {
	return responses.filter(({status, text, isComplete}) => status === 200 && isComplete && (text === events || text.startsWith('answer of'))).length;
}

for (const kind of [PartitionKind.Silent, PartitionKind.Reset, PartitionKind.NewOnly]) {
	// Guards against callers of an instance without a path to the backend servers who get refusals, although the other instances reach them.
	test.serial(`instances that are partitioned from all backend servers (${kind}) serve their callers as the others do, and so do they afterwards`, async t => {
		const fleet = await Fleet.start(t);
		fleet.partition(kind);
		const early = fleet.loadAll();
		await fleet.elapse(noticeMs);
		const during = await fleet.loadAll();
		t.is(countServed(during.connected), during.connected.length, 'an instance that is not partitioned');
		t.is(countServed(during.partitioned), during.partitioned.length, `partitioned: ${during.partitioned.map(({status}) => status).join(' ')}`);
		await early;
		fleet.partition(PartitionKind.None);
		await fleet.elapse(noticeMs);
		const afterwards = await fleet.loadAll();
		t.is(countServed([...afterwards.connected, ...afterwards.partitioned]), 3 * 3 * requests, 'afterwards');
	});

	// Guards against instances that are cut off and make the others avoid sound servers, or refuse the requests that were under way.
	test.serial(`what instances that are partitioned from all backend servers (${kind}) see of these does not count against servers and requests elsewhere`, async t => {
		const fleet = await Fleet.start(t);
		const load = fleet.loadAll();
		fleet.partition(kind);
		await load;
		await fleet.loadAll();
		const {connected} = fleet;
		t.deepEqual(fleet.findLines(connected, 'server.suspected'), []);
		for (const router of [connected, ...fleet.partitioned]) {
			t.deepEqual(fleet.findLines(router, 'server.crashed'), []);
			t.deepEqual(fleet.findLines(router, 'prompt.quarantined'), []);
		}
	});
}

// Guards against one-time requests that run twice, and requests whose time and attempts grow, on the way through another instance.
test.serial('what a partitioned instance sends keeps its deadline, its attempts and its limits', async t => {
	const fleet = await Fleet.start(t);
	fleet.partition(PartitionKind.Reset);
	await fleet.elapse(noticeMs);
	const [router] = fleet.partitioned;
	await fleet.load(router);
	const received = [...router.stages, ...router.records].flatMap(({receivedRequests}) => receivedRequests).filter(({id}) => id.startsWith('entry-b'));
	const oneTime = received.filter(({path}) => path.startsWith('/records/'));
	t.is(oneTime.length, new Set(oneTime.map(({id}) => id)).size);
	t.is(oneTime.length, requests);
	t.true(received.every(({remaining, path}) => remaining <= (path.startsWith('/drafts/') ? 5000 : 800)));
});

// Guards against streams that work and are broken off, because new connections to their first stage are refused.
test.serial('streams whose connections live on while new ones are refused are not sent again', async t => {
	const first = await RouterProcess.start(8);
	t.teardown(async () => first.stop());
	const second = await RouterProcess.startBeside(first, 'entry-b');
	t.teardown(async () => second.stop());
	first.startHeartbeats();
	await Promise.all([first, second].map(async router => router.waitUntil(async () => await router.sendForStatus('/drafts/0') === 200 && await router.sendForStatus('/lookups/0') === 200)));
	for (const stage of first.stages) {
		stage.behaviour.pause = 900;
		stage.behaviour.events = 2;
	}

	const streams = [1, 2, 3, 4].map(async number => second.send(`/drafts/live-${number}`));
	await first.timers.sleep(100);
	second.partition(PartitionKind.NewOnly);
	await first.timers.sleep(50);
	const others = [1, 2, 3, 4, 5, 6].flatMap(number => [second.send(`/lookups/${number}`), second.send(`/records/${number}`)]);
	const responses = await Promise.all(streams);
	await Promise.all(others);
	const received = first.stages.flatMap(({receivedRequests}) => receivedRequests).filter(({path}) => path.startsWith('/drafts/live-'));
	t.true(responses.every(({status, isComplete}) => status === 200 && isComplete));
	t.is(received.length, 4);
});
