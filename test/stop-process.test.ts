import test from 'ava';
import {KeptConnection} from './support/kept-connection.js';
import {RouterProcess} from './support/router-process.js';

/** Less than a router buffers until a response is complete. */
const answerBytes = 200_000;
/** The answers of the servers. */
const answers = ['records-a', 'records-b'].map(id => `answer of ${id}`.padEnd(answerBytes, '.'));
/** With their answers, more than the buffers of a connection hold. */
const sentRequests = 120;
/** Longer than the notice period. */
const silenceMs = 1000;

/** Counts the requests that a server has received and answered completely. */
function countAnswered(router: RouterProcess): number {
	const answered = router.records.flatMap(({receivedRequests}) => receivedRequests).filter(({path, wasAborted}) => path.startsWith('/lookups/') && !wasAborted);
	return new Set(answered.map(({path}) => path)).size;
}

// Guards against answers that are lost although the log says that their requests were answered: the process ended before their bytes had left it.
test.serial('a planned stop cuts no reply whose caller reads late', async t => {
	const router = await RouterProcess.start();
	t.teardown(async () => router.stop());
	for (const server of router.records) {
		server.behaviour.answerBytes = () => answerBytes;
	}

	const connection = await KeptConnection.open(router.callersPort);
	connection.setReading(false);
	for (let index = 0; index < sentRequests; index++) {
		connection.send(`/lookups/${index}`);
	}

	await router.timers.sleep(silenceMs);
	router.signal('SIGTERM');
	await router.timers.sleep(silenceMs);
	connection.setReading(true);
	await router.waitUntil(() => connection.isEnded);
	t.is(await router.waitForExit(), 0);
	const replies = connection.received.split(/(?=HTTP\/1\.1 \d{3} )/v);
	const complete = replies.filter(reply => !reply.startsWith('HTTP/1.1 200 ') || answers.some(answer => reply.endsWith(`\r\n${answer}`)));
	t.log(`${countAnswered(router)} answered by the servers, ${replies.length} replies received, ${complete.length} of them complete, statuses ${[...new Set(connection.statuses)].join(' ')}`);
	t.is(complete.length, replies.length);
	t.true(replies.length >= countAnswered(router));
	t.true(router.logLines.some(line => line.includes('process.stopped') && line.includes('"openReplies":0')));
});
