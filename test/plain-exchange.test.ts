import test from 'ava';
import {RequestKind} from '../src/catalog/request-kind.js';
import {PlainServerSelector} from '../src/pipelines/plain-server-selector.js';
import {PlainExchange} from '../src/relay/plain-exchange.js';
import {Execution} from '../src/results/execution.js';
import {ResultCode} from '../src/results/result-code.js';
import {resultTable} from '../src/results/result-table.js';
import {RandomSource} from '../src/routing/random-source.js';
import {ExchangeFixture, sampleResponseHead, sampleStreamRoute} from './support/exchange-fixture.js';
import {sampleServer} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

const lookupRoute = {
	...sampleStreamRoute, kind: RequestKind.Idempotent, isResumable: false, targets: [{service: 'records', weight: 1}],
};

function startLookup(connectionShare: number): ExchangeFixture {
	const fixture = new ExchangeFixture();
	const {dependencies, directory, serverHealth, load} = fixture;
	directory.applyReading({servers: [sampleServer('a', '', undefined, {service: 'records'})], requestedAt: 0, mayBeIncomplete: false});
	new PlainExchange(dependencies, fixture.createRequest(lookupRoute), fixture.reply, {
		selector: new PlainServerSelector(directory, serverHealth, load, new RandomSource(seed())),
		computeConnectionShare: () => connectionShare,
		limits: {maxBufferedBytes: 1000, responseTimeoutFraction: 0.8},
	}).start(() => undefined);
	return fixture;
}

test('a lookup that was executed is not reported as not executed when its servers leave the list', t => {
	const fixture = startLookup(5);
	fixture.latest.onHead({...sampleResponseHead, status: 500});
	fixture.directory.applyReading({servers: [], requestedAt: 1, mayBeIncomplete: false});
	fixture.latest.onEnd();
	t.is(fixture.reply.failure?.execution, Execution.Unknown);
	t.not(resultTable[fixture.reply.failure!.code].status, 503);
});

test('a request that finds all connections in use is refused at once as not executed, with a retry delay', t => {
	const fixture = startLookup(0);
	t.is(fixture.sent.length, 0);
	t.is(fixture.reply.failure?.code, ResultCode.NoPipeline);
	t.is(fixture.reply.failure?.execution, Execution.NotRun);
	t.is(fixture.reply.failure?.retryAfterSeconds, 0.5);
});
