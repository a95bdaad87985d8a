import test from 'ava';
import {AnswerLengths} from '../src/estimates/answer-lengths.js';
import {type Pipeline} from '../src/pipelines/pipeline.js';
import {AttemptFailureReason} from '../src/relay/attempt-failure.js';
import {ResultCode} from '../src/results/result-code.js';
import {sampleResponseHead, sampleStreamRoute, StreamExchangeFixture} from './support/exchange-fixture.js';
import {sampleServer} from './support/sample-fleet.js';

const server = sampleServer('a', 'large', {from: 0, to: 80});
const pipeline: Pipeline = [{server, range: {from: 0, to: 80}}];
const route = {...sampleStreamRoute, eventGapTarget: 250};

/** Starts a stream with 100 prompt tokens, whose events have 3 tokens each. */
function start(fields: ConstructorParameters<typeof StreamExchangeFixture>[1] = {}): StreamExchangeFixture {
	const fixture = new StreamExchangeFixture(route, {maxAnswerTokens: 4000, estimator: new AnswerLengths({halfLife: 100, maxRoutes: 4}), ...fields});
	fixture.pipeline = pipeline;
	fixture.start();
	fixture.latest.onHead(sampleResponseHead);
	return fixture;
}

function receiveEvents({latest}: StreamExchangeFixture, first: number, last: number): void {
	for (let id = first; id <= last; id++) {
		latest.onData(new TextEncoder().encode(`id: ${id}\ndata: x\n\n`));
	}
}

function findLengthLines({log}: StreamExchangeFixture) {
	return log.lines.filter(({kind}) => kind === 'answer.length').map(({fields}) => fields);
}

// Guards against a caller's estimate that is decoded and not used.
test('a request counts as its prompt and its predicted answer, which follows the caller\'s estimate', t => {
	const [short, usual, long] = [20, undefined, 1500].map(answerEstimate => start({answerEstimate}));
	t.is(usual.load.getTokens(server), 100 + 203);
	t.true(short.load.getTokens(server) < 280 && long.load.getTokens(server) > 400);
	t.like(long.pipelineRequests[0], {
		tokens: long.load.getTokens(server), promptTokens: 100, latencyTarget: 500, eventGapTarget: 250,
	});
});

// Guards against a load that peers see as smaller than what a long stream already holds, and against updates with each event.
test('the load of a running stream grows with what it has written, at most twice a second', t => {
	const fixture = start();
	receiveEvents(fixture, 1, 100);
	t.is(fixture.load.getTokens(server), 303);
	fixture.timers.advance(500);
	receiveEvents(fixture, 101, 101);
	const grown = fixture.load.getTokens(server);
	t.true(grown > 100 + 303, `${grown}`);
	fixture.timers.advance(400);
	receiveEvents(fixture, 102, 200);
	t.is(fixture.load.getTokens(server), grown);
	fixture.latest.onEnd();
	t.is(fixture.load.getTokens(server), 0);
	t.is(fixture.load.getRequests(server), 0);
});

// Guards against a prompt that seems as short as at first although earlier events have to be read as well.
test('a stream that resumes counts what it has written', t => {
	const fixture = start();
	receiveEvents(fixture, 1, 20);
	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'lost', wasConnectionReused: false});
	const resumed = fixture.pipelineRequests.at(-1)!;
	t.is(resumed.promptTokens, 160);
	t.is(resumed.latencyTarget, 250);
	t.true(resumed.tokens > 303);
});

test('the length of each answer is recorded once, complete or lost', t => {
	const complete = start({answerEstimate: 50});
	receiveEvents(complete, 1, 1);
	complete.timers.advance(200);
	receiveEvents(complete, 2, 20);
	complete.latest.onEnd();
	t.is(findLengthLines(complete).length, 1);
	t.like(findLengthLines(complete)[0], {
		isComplete: true, tokens: 60, callerEstimate: 50, configured: 203, durationMs: 200, expectedMs: 140,
	});
	const error = complete.dependencies.metrics.getCount('siskinnotch_answer_error_tokens', {route: 'drafts', predictor: 'configured'});
	t.true(Math.abs(error - (203 - 60)) < 0.5, `${error}`);

	const left = start();
	receiveEvents(left, 1, 20);
	left.reply.leave();
	t.like(findLengthLines(left), [{isComplete: false, tokens: 60}]);
	t.is(left.dependencies.metrics.getCount('siskinnotch_answers', {route: 'drafts', outcome: 'lost'}), 1);
});

// Guards against half answers that count as whole ones, and against errors of requests that got no answer.
test('streams that the caller resumed, or that got no event, are not recorded', t => {
	const resumed = start({lastEventId: 10});
	receiveEvents(resumed, 11, 20);
	resumed.latest.onEnd();
	const failed = start();
	failed.timers.advance(route.timeout);
	t.not(failed.reply.failure?.code, ResultCode.Draining);
	t.deepEqual([...findLengthLines(resumed), ...findLengthLines(failed)], []);
});
