import test, {type ExecutionContext} from 'ava';
import * as z from 'zod';
import {RouterProcess, type CallerResponse} from './support/router-process.js';

const events = [1, 2, 3, 4, 5].map(id => `id: ${id}\ndata: token ${id}\n\n`).join('');
const stageCount = 8;
const crashingPart = 'dd04';
const maxCrashes = 5;
/** Attempts with the part that may reach stages after the last of the crashes. */
const maxLateAttempts = 3;
const maxAttempts = maxCrashes + maxLateAttempts;
const refusedRequests = 3;
/** For the router to store what it learned, which no caller sees. */
const settlingMs = 1000;

/** Sends requests with the part that crashes each stage, and sound requests that share their first part and their key. */
class Workload {
	private sent = 0;

	constructor(private readonly router: RouterProcess) {}

	/** Attempts with the part that reached stages, repeats included. Those that a restarted stage refused because they were meant for its previous incarnation do not count. */
	get attempts(): number {
		return this.router.stages.flatMap(({receivedRequests}) => receivedRequests).filter(({promptParts, isMisdirected}) => promptParts.includes(crashingPart) && !isMisdirected).length;
	}

	async sendDeadly(): Promise<CallerResponse> {
		return this.send(crashingPart);
	}

	async sendSound(): Promise<CallerResponse> {
		return this.send('bb02');
	}

	/** Waits until a sound request is answered completely, so that the next request does not fail merely for lack of stages. */
	async waitForService(): Promise<void> {
		await this.router.waitUntil(async () => {
			const {status, text} = await this.sendSound();
			return status === 200 && text === events;
		});
	}

	/** No two requests have the same last part or body. */
	private async send(part: string): Promise<CallerResponse> {
		this.sent++;
		return this.router.send(`/drafts/${this.sent}`, {body: `prompt ${this.sent}`, promptParts: `aa01:40,${part}:360,${(0xE0_00 + this.sent).toString(16)}:25`});
	}
}

async function startWorkload(t: ExecutionContext): Promise<{readonly router: RouterProcess; readonly workload: Workload}> {
	const router = await RouterProcess.start(stageCount);
	t.teardown(async () => router.stop());
	for (const {behaviour} of router.stages) {
		behaviour.crashingPart = crashingPart;
	}

	router.startHeartbeats();
	return {router, workload: new Workload(router)};
}

function isRefused({status, headers, text}: CallerResponse): boolean {
	return status === 503 && Number(headers['retry-after']) > 0 && z.object({execution: z.string()}).parse(JSON.parse(text)).execution === 'not_run';
}

// Guards against requests on one bad prompt part that crash the servers one after the other for as long as such requests come.
test.serial('requests with a prompt part that crashes each server are soon refused as not run, and sound requests that share a part and the key are answered', async t => {
	const {workload} = await startWorkload(t);
	const answers: CallerResponse[] = [];
	for (let request = 0; request < 12; request++) {
		await workload.waitForService(); // eslint-disable-line no-await-in-loop
		answers.push(await workload.sendDeadly()); // eslint-disable-line no-await-in-loop
		t.true(workload.attempts <= maxAttempts, `${workload.attempts} attempts of ${answers.length} requests with the part reached stages, statuses ${answers.map(({status}) => status).join(', ')}`);
	}

	t.deepEqual(answers.slice(-refusedRequests).map(answer => isRefused(answer)), Array.from({length: refusedRequests}, () => true));
	await workload.waitForService();
	const sound = await workload.sendSound();
	t.is(sound.status, 200);
	t.is(sound.text, events);
});

// Guards against a quarantine that lasts only as long as the process that found the part.
test.serial('a prompt part that crashes each server stays refused after the router is killed and started again', async t => {
	const {router, workload} = await startWorkload(t);
	for (let refusals = 0; refusals < refusedRequests && workload.attempts <= maxAttempts;) {
		await workload.waitForService(); // eslint-disable-line no-await-in-loop
		refusals = isRefused(await workload.sendDeadly()) ? refusals + 1 : 0; // eslint-disable-line no-await-in-loop
	}

	await router.timers.sleep(settlingMs);
	const attemptsBefore = workload.attempts;
	const answers: CallerResponse[] = [];
	// A process that must find the part anew could do so within the limit once, but not twice.
	for (let restart = 0; restart < 2; restart++) {
		router.signal('SIGKILL');
		t.is(await router.waitForExit(), -1); // eslint-disable-line no-await-in-loop
		await router.startRouter(); // eslint-disable-line no-await-in-loop
		for (let request = 0; request < 5; request++) {
			await workload.waitForService(); // eslint-disable-line no-await-in-loop
			answers.push(await workload.sendDeadly()); // eslint-disable-line no-await-in-loop
			const attempts = workload.attempts - attemptsBefore;
			t.true(attempts <= maxLateAttempts, `${attempts} attempts of ${answers.length} requests with the part reached stages after ${restart + 1} restarts`);
		}
	}

	t.deepEqual(answers.slice(-refusedRequests).map(answer => isRefused(answer)), Array.from({length: refusedRequests}, () => true));
	await workload.waitForService();
});
