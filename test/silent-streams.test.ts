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
