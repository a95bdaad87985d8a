import test from 'ava';
import {RequestKind} from '../src/catalog/request-kind.js';
import {PlainServerSelector} from '../src/pipelines/plain-server-selector.js';
import {PlainExchange} from '../src/relay/plain-exchange.js';
import {Execution} from '../src/results/execution.js';
import {ResultCode} from '../src/results/result-code.js';
import {resultTable} from '../src/results/result-table.js';
import {RandomSource} from '../src/routing/random-source.js';
import {sampleResponseHead, sampleStreamRoute, ExchangeFixture} from './support/exchange-fixture.js';
import {sampleServer} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

const lookups = {
	...sampleStreamRoute, kind: RequestKind.Idempotent, isResumable: false, targets: [{service: 'records', weight: 1}],
};

function startLookup(share: number): ExchangeFixture {
	const sample = new ExchangeFixture();
	const {dependencies: parts, directory, serverHealth: beliefs, load} = sample;
	directory.applyReading({servers: [sampleServer('a', '', undefined, {service: 'records'})], requestedAt: 0, mayBeIncomplete: false});
	new PlainExchange(parts, sample.createRequest(lookups), sample.reply, {
		selector: new PlainServerSelector(directory, beliefs, load, new RandomSource(seed())),
		computeConnectionShare: () => share,
		limits: {maxBufferedBytes: 1000, responseTimeoutFraction: 0.8},
	}).start(() => undefined);
	return sample;
}

test('the servers of a lookup leave after it ran: its caller is not told that it did not run', t => {
	const sample = startLookup(5);
	sample.latest.onHead({...sampleResponseHead, status: 500});
	sample.directory.applyReading({servers: [], requestedAt: 1, mayBeIncomplete: false});
	sample.latest.onEnd();
	t.is(sample.reply.failure?.execution, Execution.Unknown);
	t.not(resultTable[sample.reply.failure!.code].status, 503);
});

test('all connections are in use: refused at once as not run, with when to come back', t => {
	const sample = startLookup(0);
	t.is(sample.sent.length, 0);
	t.is(sample.reply.failure?.code, ResultCode.NoPipeline);
	t.is(sample.reply.failure?.execution, Execution.NotRun);
	t.is(sample.reply.failure?.retryAfterSeconds, 0.5);
});
