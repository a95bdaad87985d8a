import test from 'ava';
import {getIncarnationId} from '../src/pipelines/backend-server.js';
import {AttemptFailureReason} from '../src/relay/attempt-failure.js';
import {ResultCode} from '../src/results/result-code.js';
import {sampleResponseHead, StreamExchangeFixture} from './support/exchange-fixture.js';
import {sampleServer} from './support/sample-fleet.js';

const range = {from: 0, to: 80};
const first = sampleServer('first', 'large', range);
const pipeline = [{server: first, range}];
const encoder = new TextEncoder();

test('a stream that moves off a silent stage and finds no other is given up before its caller leaves', t => {
	const sample = new StreamExchangeFixture();
	sample.pipeline = pipeline;
	sample.start();
	sample.timers.advance(1300);
	sample.pipeline = undefined;
	sample.exchange.migrate(first, 'no event');
	sample.timers.advance(490);
	t.is(sample.reply.failure, undefined, 'its caller still waits');
	sample.timers.advance(20);
	t.is(sample.reply.failure?.code, ResultCode.StreamInterrupted);
});

test('rejections one after the other do not lengthen the wait of a request', t => {
	const sample = new StreamExchangeFixture();
	sample.pipeline = pipeline;
	sample.start();
	for (let rejections = 1; rejections < 4; rejections++) {
		sample.latest.onHead({...sampleResponseHead, status: 503, isNotExecuted: true});
		sample.pipeline = undefined;
		sample.latest.onEnd();
		sample.timers.advance(300);
		sample.pipeline = pipeline;
		sample.timers.advance(40);
	}

	sample.pipeline = undefined;
	sample.latest.onHead({...sampleResponseHead, status: 503, isNotExecuted: true});
	sample.latest.onEnd();
	sample.timers.advance(100);
	t.is(sample.reply.failure?.code, ResultCode.NoPipeline);
	t.true(sample.timers.now() <= 1140);
	t.is(sample.reply.failure?.retryAfterSeconds, 1);
});

test('a stream that broke off is given up after its last event as late as its caller allows', t => {
	const sample = new StreamExchangeFixture();
	sample.pipeline = pipeline;
	sample.start();
	sample.latest.onHead(sampleResponseHead);
	sample.timers.advance(3000);
	sample.latest.onData(encoder.encode('id: 1\ndata: one\n\n'));
	sample.pipeline = undefined;
	sample.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'the connection was reset', wasConnectionReused: false});
	sample.timers.advance(1700);
	t.false(sample.reply.isAborted, 'its caller still waits');
	sample.timers.advance(200);
	t.true(sample.reply.isAborted);
});

test('a silent first stage is used again only where there is no other way', t => {
	const sample = new StreamExchangeFixture();
	sample.pipeline = pipeline;
	sample.start();
	sample.exchange.migrate(undefined, 'no event');
	t.is(sample.sent.length, 2);
	t.true(sample.pipelineRequests.at(-2)!.excluded.has(getIncarnationId(first)));

	sample.exchange.migrate(first, 'it is down');
	t.is(sample.sent.length, 2, 'a stage that was found faulty is not used again');
});

test('first stages that leave one after the other still count as servers on which the stream ran', t => {
	const sample = new StreamExchangeFixture();
	const second = sampleServer('second', 'large', range, {address: '10.0.0.2:1'});
	sample.pipeline = pipeline;
	sample.start();
	sample.pipeline = [{server: second, range}];
	sample.serverHealth.suspect(first, 'it says that it is leaving', sample.timers.now());
	sample.exchange.migrate(first, 'it says that it is leaving');
	t.is(sample.sent.length, 2);
	sample.serverHealth.suspect(second, 'it says that it is leaving', sample.timers.now());
	sample.exchange.migrate(second, 'it says that it is leaving');
	t.deepEqual(sample.pipelineRequests.at(-1)!.firstStageCandidates, new Set([getIncarnationId(first), getIncarnationId(second)]));
});

test('a first stage that gives no answer does not count as a server on which the stream ran', t => {
	const sample = new StreamExchangeFixture();
	sample.pipeline = pipeline;
	sample.start();
	sample.serverHealth.suspect(first, 'a peer could not reach it', sample.timers.now());
	sample.serverHealth.suspect(first, 'no connection', sample.timers.now(), true);
	sample.pipeline = [{server: sampleServer('second', 'large', range), range}];
	sample.exchange.migrate(first, 'no connection');
	sample.pipeline = undefined;
	sample.exchange.migrate(undefined, 'no event');
	t.is(sample.pipelineRequests.at(-1)!.firstStageCandidates, undefined);
});
