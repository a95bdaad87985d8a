import test from 'ava';
import {sampleModel} from '../harness/sample-model.js';
import {ServiceTimes} from '../src/estimates/service-times.js';
import {predictTokenTime} from '../src/estimates/token-time.js';
import {sampleServer} from './support/sample-fleet.js';

// Guards against a prediction that stays wrong by a constant factor.
test('the ratio of actual to predicted times is learned per service, gradually and within bounds', t => {
	const times = new ServiceTimes({halfLife: 100, maxServices: 2});
	t.is(times.correct('a', 100), 100);
	times.record('a', 100, 160);
	t.true(times.getRatio('a') < 1.1);
	for (let index = 0; index < 300; index++) {
		times.record('a', 100, 160);
		times.record('b', 100, 100_000);
	}

	t.true(Math.abs(times.correct('a', 100) - 160) < 6);
	t.true(times.getError('a')! < 10);
	t.is(times.getRatio('b'), 4);
	times.record('c', 0, 5);
	t.is(times.getRatio('c'), 1);
	t.is(times.getError('a'), undefined);
});

// Guards against stages that count as if each ran the whole model.
test('the time of a token is that of the layers of each stage', t => {
	const stages = [sampleServer('x', 'large', {from: 0, to: 20}), sampleServer('y', 'small', {from: 20, to: 80})];
	const pipeline = stages.map(server => ({server, range: server.range!}));
	t.true(Math.abs(predictTokenTime(pipeline, sampleModel, 0, () => 0) - ((0.25 * 2.4 * 1.02) + (0.75 * 16 * 1.02))) < 1e-9);
	t.true(predictTokenTime(pipeline, sampleModel, 1000, () => 20) > predictTokenTime(pipeline, sampleModel, 0, () => 20));
});
