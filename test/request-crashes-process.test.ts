import test, {type ExecutionContext} from 'ava';
import * as z from 'zod';
import {RouterProcess, type CallerResponse} from './support/router-process.js';

const stageCount = 8;
const maxCrashes = 3;
/** Attempts that may reach servers after the last of the crashes. */
const maxLateAttempts = 3;
const refusedRequests = 3;
const arrivals = 10;
const sharedPart = 'aa01:40';
/** A prompt part that at first only the crashing request has. */
const ownPart = 'ee05:360';
/** For the router to store what it learned, which no caller sees. */
const settlingMs = 1000;

/** Sends a request that crashes each server which runs it, and sound requests of the same caller to the same service. */
class Workload {
	readonly deadlyPath: string;
	private sent = 0;

	constructor(private readonly router: RouterProcess, private readonly prefix: string) {
		this.deadlyPath = `${prefix}deadly`;
		for (const {behaviour} of [...router.stages, ...router.records]) {
			behaviour.crashingPath = this.deadlyPath;
		}

		router.startHeartbeats();
	}

	/** Attempts of the crashing request that reached servers and were not refused there because they were meant for an earlier incarnation. */
	get attempts(): number {
		const {stages, records} = this.router;
		return [...stages, ...records].flatMap(({receivedRequests}) => receivedRequests).filter(({path, isMisdirected}) => path === this.deadlyPath && !isMisdirected).length;
	}

	async sendDeadly(): Promise<CallerResponse> {
		return this.router.send(this.deadlyPath, {body: 'deadly', promptParts: `${sharedPart},${ownPart},ff06:25`});
	}

	async sendSound(part = 'bb02:360'): Promise<CallerResponse> {
		this.sent++;
		return this.router.send(`${this.prefix}${this.sent}`, {body: `sound ${this.sent}`, promptParts: `${sharedPart},${part},${(0xE0_00 + this.sent).toString(16)}:25`});
	}

	/** Waits until a sound request is answered, so that the next request does not fail merely for lack of servers. */
	async waitForService(): Promise<void> {
		await this.router.waitUntil(async () => {
			const {status} = await this.sendSound();
			return status === 200;
		});
	}
}

function isRefused({status, headers, text}: CallerResponse): boolean {
	return status === 503 && Number(headers['retry-after']) > 0 && z.object({execution: z.string()}).parse(JSON.parse(text)).execution === 'not_run';
}

async function startWorkload(t: ExecutionContext, prefix: string): Promise<{readonly router: RouterProcess; readonly workload: Workload}> {
	const router = await RouterProcess.start(stageCount);
	t.teardown(async () => router.stop());
	return {router, workload: new Workload(router, prefix)};
}

async function checkRefusal(t: ExecutionContext, workload: Workload): Promise<void> {
	const answers: CallerResponse[] = [];
	for (let request = 0; request < arrivals; request++) {
		await workload.waitForService(); // eslint-disable-line no-await-in-loop
		answers.push(await workload.sendDeadly()); // eslint-disable-line no-await-in-loop
		const statuses = answers.map(({status}) => status).join(', ');
		t.true(workload.attempts <= maxCrashes + maxLateAttempts, `${workload.attempts} attempts of equal requests reached servers, statuses ${statuses}`);
	}

	t.deepEqual(answers.slice(-refusedRequests).map(answer => isRefused(answer)), Array.from({length: refusedRequests}, () => true));
	await workload.waitForService();
}

// Guards against a lookup that ends one plain server after the other, twice with each arrival, for as long as it comes again.
test.serial('a lookup that crashes each server is soon refused as not run, and other lookups of its caller are answered', async t => {
	const {workload} = await startWorkload(t, '/lookups/');
	await checkRefusal(t, workload);
});

// Guards against the same with requests that are sent once for each attempt of their caller.
test.serial('a request that is not idempotent and crashes each server is soon refused as not run', async t => {
	const {workload} = await startWorkload(t, '/records/');
	await checkRefusal(t, workload);
});

// Guards against a refusal of all requests that share a prompt part with a crashing one, if the crashes are explained by one request.
test.serial('a stream that crashes each server is soon refused as not run, and streams that share its parts are answered', async t => {
	const {workload} = await startWorkload(t, '/drafts/');
	await checkRefusal(t, workload);
	const sharing = await workload.sendSound(ownPart);
	t.is(sharing.status, 200);
});

// Guards against a quarantine that lasts only as long as the process that found the request.
test.serial('a request that crashes each server stays refused after the router is killed and started again', async t => {
	const {router, workload} = await startWorkload(t, '/lookups/');
	await checkRefusal(t, workload);
	await router.timers.sleep(settlingMs);
	const attemptsBefore = workload.attempts;
	router.signal('SIGKILL');
	t.is(await router.waitForExit(), -1);
	await router.startRouter();
	for (let request = 0; request < arrivals; request++) {
		await workload.waitForService(); // eslint-disable-line no-await-in-loop
		await workload.sendDeadly(); // eslint-disable-line no-await-in-loop
	}

	t.true(workload.attempts - attemptsBefore <= maxLateAttempts, `${workload.attempts - attemptsBefore} attempts reached servers after the restart`);
});
