import test from 'ava';
import * as z from 'zod';
import {type StageSimulator} from '../simulators/stage-simulator.js';
import {RouterProcess, type CallerResponse} from './support/router-process.js';

/** Requests per second that a server names as its limit. */
const requestLimit = 4;
/** A server may get this multiple of its limit, and `toleratedRequests` beyond. */
const toleratedMultiple = 1.5;
const toleratedRequests = 5;
const sendIntervalMs = 40;
const durationMs = 3000;
const stageCount = 8;
const settlingMs = 300;

/** Sends requests at a constant rate, faster than the limits allow; returns their answers and the seconds that it took. */
async function sendBurst(router: RouterProcess, target: string): Promise<{readonly answers: readonly CallerResponse[]; readonly seconds: number}> {
	const pending: Array<Promise<CallerResponse>> = [];
	const startedAt = router.timers.now();
	while (router.timers.now() - startedAt < durationMs) {
		pending.push(router.send(target));
		await router.timers.sleep(sendIntervalMs); // eslint-disable-line no-await-in-loop
	}

	const answers = await Promise.all(pending);
	return {answers, seconds: (router.timers.now() - startedAt) / 1000};
}

function countRequests(server: StageSimulator, prefix: string): number {
	return server.receivedRequests.filter(({path}) => path.startsWith(prefix)).length;
}

function isAnsweredOrRefused({status, headers, text}: CallerResponse): boolean {
	return status === 200 || (status === 503 && Number(headers['retry-after']) > 0 && z.object({execution: z.string()}).parse(JSON.parse(text)).execution === 'not_run');
}

// Guards against plain servers that get more requests than the limit that they name in their answers.
test.serial('servers of a plain service get no more requests than the limits that they name allow, and other requests are refused as not run', async t => {
	const router = await RouterProcess.start();
	t.teardown(async () => router.stop());
	for (const {behaviour} of router.records) {
		behaviour.requestLimit = requestLimit;
	}

	await router.waitUntil(async () => {
		await router.send('/lookups/first');
		return router.records.every(server => countRequests(server, '/lookups/') > 0);
	});
	await router.timers.sleep(settlingMs);
	const {answers, seconds} = await sendBurst(router, '/lookups/burst');
	for (const server of router.records) {
		const received = countRequests(server, '/lookups/burst');
		t.true(received <= (toleratedMultiple * requestLimit * seconds) + toleratedRequests, `${server.id} got ${received} requests in ${seconds} s`);
	}

	t.true(answers.every(answer => isAnsweredOrRefused(answer)));
	t.true(answers.some(({status}) => status === 200));
});

// Guards against first stages that get more streams than the limit that they name in their answers.
test.serial('a first stage gets no more streams than the limit that it names allows', async t => {
	const router = await RouterProcess.start(stageCount);
	t.teardown(async () => router.stop());
	router.listStageRanges();
	for (const {behaviour} of router.stages) {
		behaviour.requestLimit = requestLimit;
	}

	await router.waitUntil(async () => await router.sendForStatus('/drafts/first') === 200);
	await router.timers.sleep(settlingMs);
	const {answers, seconds} = await sendBurst(router, '/drafts/burst');
	for (const stage of router.stages) {
		const received = countRequests(stage, '/drafts/burst');
		t.true(received <= (toleratedMultiple * requestLimit * seconds) + toleratedRequests, `${stage.id} got ${received} streams in ${seconds} s`);
	}

	t.true(answers.every(answer => isAnsweredOrRefused(answer)));
	t.true(answers.some(({status}) => status === 200));
});
