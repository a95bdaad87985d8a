import test, {type ExecutionContext} from 'ava';
import * as z from 'zod';
import {RouterSite, createSiteConfiguration} from './support/router-process.js';

const events = [1, 2, 3, 4, 5].map(id => `id: ${id}\ndata: token ${id}\n\n`).join('');

async function startSite(t: ExecutionContext): Promise<RouterSite> {
	const site = await RouterSite.start();
	t.teardown(async () => site.stop());
	site.listRanges();
	return site;
}

test.serial('a calm day: layers are placed once, a stream passes all of them, a record is written once', async t => {
	const site = await startSite(t);
	t.deepEqual(site.stages.map(({orders}) => orders), [1, 1, 1, 1]);
	const stream = await site.send('/drafts/1');
	t.is(stream.status, 200);
	t.is(stream.text, events);
	t.truthy(stream.headers['siskinnotch-replica-signature']);
	const arrival = site.stages.flatMap(({arrivals}) => arrivals)[0];
	const parts = arrival.pipeline!.split(',').map(part => part.split('=')[1].split('-').map(Number));
	t.is(parts[0][0], 0);
	t.is(parts.at(-1)![1], 80);
	t.true(parts.every(([from], index) => index === 0 || from === parts[index - 1][1]));
	t.is(arrival.workspace, 'inspectors');
	t.true(arrival.remaining <= 5000 && arrival.remaining > 4000);

	const record = await site.send('/records/1', {body: 'book'});
	t.is(record.status, 200);
	t.regex(record.text, /^answer of records-/v);
	t.deepEqual(site.records.flatMap(({arrivals}) => arrivals).map(({path, body}) => [path, body]), [['/records/1', 'book']]);
});

test.serial('refusals by the configuration: unknown route, unknown key, body too large, and none is passed on', async t => {
	const site = await startSite(t);
	t.is(await site.statusOf('/nowhere/'), 404);
	t.is(await site.statusOf('/drafts/1', {key: 'stolen'}), 401);
	t.is(await site.statusOf('/records/1', {body: 'x'.repeat(20_000)}), 413);
	t.is([...site.stages, ...site.records].flatMap(({arrivals}) => arrivals).length, 0);
});

test.serial('a stage that dies within an event: the stream goes on without a missing or doubled event', async t => {
	const site = await startSite(t);
	const dying = site.stages.find(({range}) => range?.from === 0)!;
	dying.behaviour.dieWithin = 3;
	const stream = await site.send('/drafts/1');
	t.is(stream.text, events);
	t.true(dying.arrivals[0].wasCut);
	const arrivals = site.stages.flatMap(stage => stage.arrivals);
	t.is(arrivals.length, 2);
	t.is(arrivals[1].lastEventId, 2);
});

test.serial('a timeout is answered when it ends, and the record is not sent again', async t => {
	const site = await startSite(t);
	for (const server of site.records) {
		server.behaviour.pause = 3000;
	}

	const answer = await site.send('/records/1');
	t.is(answer.status, 504);
	t.is(site.records.flatMap(({arrivals}) => arrivals).length, 1);
	await site.until(() => site.records.some(({arrivals}) => arrivals.some(({wasCut}) => wasCut)));
});

test.serial('a server that is full: the next one gets the request; all are full: refused as not run, with when to come back', async t => {
	const site = await startSite(t);
	site.records[0].behaviour.rejectWith = 503;
	t.is(await site.statusOf('/records/1'), 200);
	site.records[1].behaviour.rejectWith = 503;
	const refusal = await site.send('/records/2');
	t.is(refusal.status, 503);
	t.true(Number(refusal.headers['retry-after']) > 0);
	t.is(z.object({execution: z.string()}).parse(JSON.parse(refusal.text)).execution, 'not_run');
});

test.serial('a caller that leaves: the attempt is cut at the stage', async t => {
	const site = await startSite(t);
	const first = site.stages.find(({range}) => range?.from === 0)!;
	first.behaviour.pause = 1000;
	await t.throwsAsync(site.send('/drafts/1', {leaveAfter: 200}));
	await t.notThrowsAsync(site.until(() => first.arrivals.some(({wasCut}) => wasCut)));
});

test.serial('a server that leaves gets no new work, and its layers are held again', async t => {
	const site = await startSite(t);
	const leaving = site.stages.find(({range}) => range?.from === 0)!;
	site.list(leaving, site.portOf(leaving), 'draining');
	await site.until(() => site.stages.some(stage => stage !== leaving && stage.range?.from === 0));
	site.listRanges();
	site.list(leaving, site.portOf(leaving), 'draining');
	await site.until(async () => await site.statusOf('/drafts/1') === 200);
	const before = leaving.arrivals.length;
	t.is(await site.textOf('/drafts/2'), events);
	t.is(leaving.arrivals.length, before);
});

test.serial('a configuration that cannot be read leaves the one in force; a newer one is taken; an older one is not', async t => {
	const site = await startSite(t);
	site.store.put('op', 'config', 'torn{');
	await site.until(() => site.lines.some(line => line.includes('catalog.unreadable')));
	t.is(await site.statusOf('/records/1'), 200);
	for (const server of site.records) {
		server.behaviour.pause = 600;
	}

	site.store.put('op', 'config', createSiteConfiguration(9, 100));
	await site.until(async () => await site.statusOf('/records/2') === 504);
	site.store.put('op', 'config', createSiteConfiguration(8, 5000));
	await site.timers.sleep(500);
	t.is(await site.statusOf('/records/3'), 504);
});

test.serial('killed while the store is away, then started again: ready with the store, and no order is given again', async t => {
	const site = await startSite(t);
	const orders = site.stages.map(stage => stage.orders);
	site.signal('SIGKILL');
	t.is(await site.exited(), -1);
	site.store.isDown = true;
	const starting = site.startRouter();
	await site.timers.sleep(700);
	site.store.isDown = false;
	await starting;
	t.is(await site.textOf('/drafts/1'), events);
	await site.timers.sleep(1000);
	t.deepEqual(site.stages.map(stage => stage.orders), orders);
});

test.serial('the store goes away: requests are served on', async t => {
	const site = await startSite(t);
	site.store.isDown = true;
	await site.until(() => site.lines.some(line => line.includes('dependency.lost')));
	t.is(await site.textOf('/drafts/1'), events);
	t.is(await site.statusOf('/records/1'), 200);
});

test.serial('an answer without a length, as a crash may leave: repeated where that is allowed, else passed on without a length', async t => {
	const site = await startSite(t);
	site.records[0].behaviour.isUnframed = true;
	t.is(await site.textOf('/lookups/1'), 'answer of records-b');
	site.records[1].behaviour.isUnframed = true;
	const record = await site.send('/records/1');
	t.is(record.status, 200);
	t.regex(record.text, /^answer of records-/v);
	t.is(record.headers['content-length'], undefined);
	t.is(record.headers['transfer-encoding'], undefined);
	t.is(site.records.flatMap(({arrivals}) => arrivals).filter(({path}) => path === '/records/1').length, 1);
});

test.serial('a request that comes when the notice of a planned stop is over is refused as not run', async t => {
	const site = await startSite(t);
	for (const stage of site.stages) {
		stage.behaviour.pause = 300;
	}

	const sending = site.send('/drafts/1');
	await site.until(() => site.stages.some(({arrivals}) => arrivals.length > 0));
	site.signal('SIGTERM');
	t.is(await site.statusOf('/records/1'), 200, 'served during the notice');
	await site.timers.sleep(500);
	const late = await site.send('/records/2');
	t.is(late.status, 503);
	t.regex(late.text, /"execution":"not_run"/v);
	t.true(Number(late.headers['retry-after']) > 0);
	t.is(late.headers.connection, 'close');
	t.is(site.records.flatMap(({arrivals}) => arrivals).length, 1);
	const stream = await sending;
	t.is(stream.text, events);
});

test.serial('settings that change while it runs: streams go on, and the change is noted; a broken file is refused', async t => {
	const site = await startSite(t);
	const sending = site.send('/drafts/1');
	site.changeSettings('[logs]\nburst = 50\n');
	site.signal('SIGHUP');
	await site.until(() => site.lines.some(line => line.includes('process.reloaded')));
	site.changeSettings('[limits]\nstall = soon\n');
	site.signal('SIGHUP');
	await site.until(() => site.lines.some(line => line.includes('process.reload_refused')));
	const {text} = await sending;
	t.is(text, events);
	t.is(await site.statusOf('/records/1'), 200);
});

test.serial('a planned stop lets a stream run to its end and exits with 0', async t => {
	const site = await startSite(t);
	for (const stage of site.stages) {
		stage.behaviour.pause = 150;
	}

	const sending = site.send('/drafts/1');
	await site.until(() => site.stages.some(({arrivals}) => arrivals.length > 0));
	site.signal('SIGTERM');
	const stream = await sending;
	t.is(stream.text, events);
	t.true(stream.isWhole);
	t.is(await site.exited(), 0);
});
