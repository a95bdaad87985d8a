import process from 'node:process';
import test, {type ExecutionContext} from 'ava';
import {getApiKey} from '../harness/sheet-text.js';
import {
	BodyCrowd, BodyKind, bodyLimit, lockCrowds,
} from './support/body-crowd.js';
import {countDescriptors, readPeakMemory} from './support/process-memory.js';
import {createSiteConfiguration, RouterProcess} from './support/router-process.js';
import {startCluster} from './support/start-cluster.js';

const megabyte = 1_000_000;
/** Memory of the smallest machine. */
const maxMemory = 202 * megabyte;
/** Above what an instance has open without callers, and below that with the whole crowd. */
const maxDescriptors = 80;
const routeTimeout = 15_000;
/** Descriptors that a process may open where it gets more connections than that. */
const descriptorLimit = 256;
/** Bodies that stop are held for at least this time in milliseconds after the last byte. */
const holdMs = 1000;
const heapLimit = '--max-old-space-size=200';

async function startRouter(t: ExecutionContext, limit?: number): Promise<RouterProcess> {
	await lockCrowds(t);
	const router = new RouterProcess();
	router.descriptorLimit = limit;
	await router.startSimulators();
	t.teardown(async () => router.stop());
	const configuration = createSiteConfiguration(4);
	router.store.putRow('op', 'config', {
		...configuration,
		limits: {...configuration.limits, maxBodyBytes: bodyLimit},
		routes: configuration.routes.map(route => ({...route, timeoutMs: routeTimeout})),
	});
	await router.startRouter();
	await router.waitUntil(() => router.stages.every(({range}) => range !== null));
	return router;
}

const routerHead = 'POST /lookups/crowd HTTP/1.1\r\nHost: site.example\r\nSiskinnotch-Attempt-Id: crowd\r\nSiskinnotch-Deadline-Remaining: 15000\r\nX-Api-Key: key-1\r\n';
const ownHead = `POST /v1/services/records/site-history HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${getApiKey('large')}\r\n`;

for (const kind of Object.values(BodyKind)) {
	const isEndless = kind === BodyKind.Announced || kind === BodyKind.Endless;
	// Guards against callers that exhaust the memory or the descriptors of a process, and end the requests of all other callers with it.
	test.serial(`many ${kind}: the router lives within its memory and answers an ordinary request`, async t => {
		const router = await startRouter(t);
		const crowd = new BodyCrowd(router.callersPort, routerHead);
		t.teardown(() => {
			crowd.close();
		});
		await crowd.send(kind);
		await router.timers.sleep(holdMs);
		t.true(router.isRunning, 'the process has ended');
		t.log(`${Math.round(router.peakMemory / megabyte)} MB, ${router.descriptors} descriptors`);
		t.true(router.peakMemory < maxMemory, `${Math.round(router.peakMemory / megabyte)} MB`);
		t.true(!isEndless || router.descriptors < maxDescriptors, `${router.descriptors} descriptors`);
		t.is(await router.sendForStatus('/lookups/ordinary'), 200);
	});

	// Guards against the same by callers of the own interface.
	test.serial(`many ${kind}: an instance of the own interface lives within its memory and answers an ordinary request`, async t => {
		await lockCrowds(t);
		process.env.NODE_OPTIONS = heapLimit;
		const cluster = await startCluster({entries: 1, engines: 0, records: 1}, {limits: {body: `${bodyLimit} B`}});
		delete process.env.NODE_OPTIONS;
		t.teardown(async () => cluster.stop());
		const [{program, callerAddress}] = cluster.entries;
		const crowd = new BodyCrowd(Number(callerAddress.split(':')[1]), ownHead);
		t.teardown(() => {
			crowd.close();
		});
		await crowd.send(kind);
		await cluster.timers.sleep(holdMs);
		t.true(program.isRunning, 'the process has ended');
		t.log(`${Math.round(readPeakMemory(program.pid) / megabyte)} MB, ${countDescriptors(program.pid)} descriptors`);
		t.true(readPeakMemory(program.pid) < maxMemory, `${Math.round(readPeakMemory(program.pid) / megabyte)} MB`);
		t.true(!isEndless || countDescriptors(program.pid) < maxDescriptors, `${countDescriptors(program.pid)} descriptors`);
		const response = await fetch(`http://${callerAddress}/v1/services/records/site-history`, {method: 'POST', headers: {authorization: `Bearer ${getApiKey('large')}`}, body: '{}'});
		t.is(response.status, 200);
	});
}

// Guards against callers that take all descriptors of a process, so that it can neither accept others nor reach its servers.
test.serial('more unfinished requests than a process may open descriptors: the router answers an ordinary request', async t => {
	const router = await startRouter(t, descriptorLimit);
	const crowd = new BodyCrowd(router.callersPort, routerHead);
	t.teardown(() => {
		crowd.close();
	});
	await crowd.open(descriptorLimit * 2);
	t.true(router.isRunning, 'the process has ended');
	t.log(`${router.descriptors} descriptors`);
	t.true(router.descriptors < descriptorLimit * 0.9, `${router.descriptors} descriptors`);
	t.is(await router.sendForStatus('/lookups/ordinary', {leaveAfter: routeTimeout}).catch(() => 0), 200);
});
