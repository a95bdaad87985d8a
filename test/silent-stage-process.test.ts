import test from 'ava';
import {RouterProcess} from './support/router-process.js';

const events = [1, 2, 3, 4, 5].map(id => `id: ${id}\ndata: token ${id}\n\n`).join('');
/** Stages that hold all layers together but none twice, so that none can take over from another. */
const stageCount = 2;
/** Below the two seconds after which a caller abandons a silent stream. */
const silenceMs = 1000;

// Guards against a stream that fails because its stage was silent for a while, although the stage went on and no other one could.
test.serial('a stream whose only possible first stage is silent for a while is answered completely', async t => {
	const router = await RouterProcess.start(stageCount);
	t.teardown(async () => router.stop());
	router.listStageRanges();
	await router.waitUntil(async () => await router.sendForStatus('/drafts/1') === 200);
	const first = router.stages.find(({range}) => range?.from === 0)!;
	first.behaviour.pauseWithinStream = silenceMs;
	const stream = await router.send('/drafts/2');
	t.is(stream.status, 200);
	t.is(stream.text, events);
	t.true(stream.isComplete);
});
