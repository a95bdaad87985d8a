import test from 'ava';
import {AttemptFailureReason} from '../src/relay/attempt-failure.js';
import {ResultCode} from '../src/results/result-code.js';
import {sampleResponseHead, StreamExchangeFixture} from './support/exchange-fixture.js';
import {sampleServer} from './support/sample-fleet.js';

const range = {from: 0, to: 80};
const first = sampleServer('first', 'large', range);
const second = sampleServer('second', 'large', range, {address: '10.0.0.2:1'});
const encoder = new TextEncoder();
const rejection = {...sampleResponseHead, status: 503, isNotExecuted: true};

function encodeEvent(id: number): Uint8Array {
	return encoder.encode(`id: ${id}\ndata: ${id}\n\n`);
}

/** Starts a stream that has received one event from the first server. */
function startStream(): StreamExchangeFixture {
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = [{server: first, range}];
	fixture.start();
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onData(encodeEvent(1));
	return fixture;
}

// Guards against failures whose log line does not tell an interrupted stream from one that never began.
test('the line of a failed stream says how far it got, and a reply that is cut off is counted', t => {
	const fixture = startStream();
	fixture.pipeline = undefined;
	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'reset', wasConnectionReused: false});
	fixture.timers.advance(1800);
	t.true(fixture.reply.isAborted);
	const {fields} = fixture.log.lines.find(({kind}) => kind === 'request.failed')!;
	t.like(fields, {
		code: ResultCode.StreamInterrupted, isBegun: true, afterEvent: 1, silentMs: 1800, rejections: 0, servers: 1,
	});
	t.regex(fixture.dependencies.metrics.render(), /siskinnotch_replies_cut\{kind="[^"]+",code="84"\} 1/v);
});

// Guards against answers that are cut off although their server only paused: whether another one has capacity is known only from its response.
test('a stream whose server falls silent goes on with it if the other server rejects the request', t => {
	const fixture = startStream();
	const silent = fixture.latest;
	fixture.timers.advance(1400);
	fixture.pipeline = [{server: second, range}];
	fixture.exchange.migrate(undefined, 'no event for 1400 ms');
	t.is(fixture.sent.length, 2);
	fixture.pipeline = undefined;
	fixture.latest.onHead(rejection);
	fixture.latest.onEnd();
	fixture.timers.advance(100);
	t.deepEqual(fixture.cancelled, []);
	silent.onData(encodeEvent(2));
	fixture.timers.advance(1000);
	silent.onEnd();
	t.is(fixture.reply.text, 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n');
	t.true(fixture.reply.isEnded);
	t.false(fixture.reply.isAborted);
});

// Guards against answers that are cut off while their callers still wait, because servers were full for a moment.
test('a begun stream that lost its server and is rejected many times resumes as soon as a server accepts it', t => {
	const fixture = startStream();
	fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'reset', wasConnectionReused: false});
	for (let rejections = 0; rejections < 10; rejections++) {
		fixture.timers.advance(40);
		fixture.latest.onHead(rejection);
		fixture.latest.onEnd();
	}

	t.false(fixture.reply.isAborted);
	fixture.timers.advance(40);
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onData(encodeEvent(2));
	fixture.latest.onEnd();
	t.is(fixture.reply.text, 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n');
});
