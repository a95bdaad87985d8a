import test from 'ava';
import {AcceptedRequestsRun} from './support/accepted-requests-run.js';
import {
	countOutcomes, describeRequest, describeCrossings, Outcome,
} from './support/request-ledger.js';
import {runSeeds} from './support/seed.js';

for (const seed of runSeeds([1, 2])) {
	// Guards against requests that an instance has read and that end with neither a whole answer nor a refusal nor a line of the log.
	test.serial(`beside changes, silences, stalls and planned stops, no accepted request is lost, seed ${seed}`, async t => {
		const run = await AcceptedRequestsRun.start(seed);
		t.teardown(async () => run.stop());
		const {requests, repeated, disturbances, exitCodes} = await run.run();
		t.log(countOutcomes(requests));
		t.log(describeCrossings(requests));
		const lost = requests.filter(({outcome}) => outcome === Outcome.Lost);
		if (lost.length > 0) {
			t.log(disturbances.join('\n'));
		}

		const named = requests.filter(({outcome}) => outcome === Outcome.Named);
		for (const request of [...lost, ...named]) {
			t.log(describeRequest(request));
		}

		t.deepEqual(lost.map(({life}) => life.plan.id), []);
		t.deepEqual(repeated, []);
		t.deepEqual(exitCodes, [0, 0]);
		t.true(requests.some(({outcome}) => outcome === Outcome.Answered));
	});
}
