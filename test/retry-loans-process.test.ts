import test from 'ava';
import {RouterProcess} from './support/router-process.js';

const batchSize = 20;
/** Retries in 10 s that all instances together send beyond the ratio: a fraction of the default allowance. */
const allowance = 198 * 0.7;
/** For the instances to learn of each other. */
const registrationMs = 2500;
const ratio = 0.2;
const windowMs = 10_000;

function countLines({logLines}: RouterProcess, event: string): number {
	return logLines.filter(line => line.includes(`"${event}"`)).length;
}

// Guards against instances that don't lend each other retries over their real connections, or too many.
test.serial('an instance whose lookups are all rejected borrows retries from another one, and both together stay within their budget', async t => {
	const router = await RouterProcess.start();
	t.teardown(async () => router.stop());
	const other = await RouterProcess.startBeside(router, 'entry-b');
	t.teardown(async () => other.stop());
	for (const {behaviour} of router.records) {
		behaviour.rejectionStatus = 503;
	}

	await router.timers.sleep(registrationMs);
	const startedAt = router.timers.now();
	let sent = 0;
	while (countLines(router, 'retries.borrowed') < 3 && router.timers.now() - startedAt < windowMs) {
		const answers = await Promise.all(Array.from({length: batchSize}, async () => router.sendForStatus('/lookups/a'))); // eslint-disable-line no-await-in-loop
		sent += batchSize;
		t.true(answers.every(status => status === 503));
	}

	const received = router.records.flatMap(({receivedRequests}) => receivedRequests.filter(({path}) => path.startsWith('/lookups/'))).length;
	t.log(`${sent} lookups, ${received} attempts, ${countLines(router, 'retries.borrowed')} loans in ${Math.round(router.timers.now() - startedAt)} ms`);
	t.true(countLines(router, 'retries.borrowed') >= 3);
	t.is(countLines(router, 'retries.not_borrowed'), 0);
	t.true(countLines(router, 'request.retry_denied') > 0);
	t.true(received <= sent + allowance + (ratio * sent));
});
