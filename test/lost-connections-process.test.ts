import test from 'ava';
import {RouterProcess} from './support/router-process.js';
import {wholeAnswer} from './support/silent-stream.js';

/** Stages that hold all layers twice. */
const stageCount = 6;
const lostConnections = 2;
/** The event within which connections are lost. */
const brokenEvent = 3;
/** Time before each event in milliseconds, for the test to see where the stream is. */
const pauseMs = 60;

// Guards against a sound stream that is cut because living servers closed two of its connections.
test.serial('a stream that loses two connections of living servers within a few events is answered whole, by the first server if its route allows two', async t => {
	const router = await RouterProcess.start(stageCount);
	t.teardown(async () => router.stop());
	router.listStageRanges();
	await router.waitUntil(async () => await router.sendForStatus('/drafts/0') === 200);
	const countAttempts = () => router.stages.flatMap(({receivedRequests}) => receivedRequests).filter(({path, isMisdirected}) => path === '/drafts/1' && !isMisdirected).length;
	const setBrokenEvent = (event: number | undefined) => {
		for (const {behaviour} of router.stages) {
			behaviour.breakWithinEvent = event;
			behaviour.pause = pauseMs;
		}
	};

	setBrokenEvent(brokenEvent);
	const response = router.send('/drafts/1');
	for (let attempts = 1; attempts <= lostConnections; attempts++) {
		await router.waitUntil(() => countAttempts() >= attempts); // eslint-disable-line no-await-in-loop
		// The stage that has begun to answer has taken its event already.
		setBrokenEvent(attempts < lostConnections ? brokenEvent : undefined);
	}

	const {status, text, isComplete} = await response;
	t.is(status, 200);
	t.is(text, wholeAnswer);
	t.true(isComplete);
	t.is(countAttempts(), lostConnections + 1);
	const servers = router.stages.filter(({receivedRequests}) => receivedRequests.some(({path}) => path === '/drafts/1'));
	t.is(servers.length, lostConnections, 'the second attempt went to another first stage');
});
