import test from 'ava';
import {RequestKind} from '../src/catalog/request-kind.js';
import {PlainServerSelector} from '../src/pipelines/plain-server-selector.js';
import {SuspicionCause} from '../src/pipelines/suspicion-cause.js';
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

function startLookup(connectionShare: number, ids: readonly string[] = ['a']): ExchangeFixture {
	const fixture = new ExchangeFixture();
	const {dependencies, directory, serverHealth, backpressure, load} = fixture;
	directory.applyReading({servers: ids.map(id => sampleServer(id, '', undefined, {service: 'records'})), requestedAt: 0, mayBeIncomplete: false});
	new PlainExchange(dependencies, fixture.createRequest(lookupRoute), fixture.reply, {
		selector: new PlainServerSelector({
			directory, serverHealth, backpressure, load, random: new RandomSource(seed()),
		}),
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

test('a server that says in an answer that it is leaving gets no further request, without the list', t => {
	const fixture = startLookup(5);
	const {directory} = fixture;
	fixture.latest.onHead({...sampleResponseHead, isLeaving: true});
	fixture.latest.onEnd();
	t.true(fixture.reply.isEnded);
	t.deepEqual(directory.usable('records'), []);
	directory.applyReading({servers: [sampleServer('a', '', undefined, {service: 'records'})], requestedAt: 1, mayBeIncomplete: false});
	t.deepEqual(directory.usable('records'), [], 'the list shows it as serving');
	directory.applyReading({servers: [], requestedAt: 2, mayBeIncomplete: false});
	directory.applyReading({servers: [sampleServer('a', '', undefined, {service: 'records'})], requestedAt: 3, mayBeIncomplete: false});
	t.deepEqual(directory.usable('records'), [], 'the list shows it as serving again');
	directory.applyReading({servers: [sampleServer('a', '', undefined, {service: 'records', startedAt: 2})], requestedAt: 4, mayBeIncomplete: false});
	t.is(directory.usable('records').length, 1, 'a new incarnation');
});

test('a server that asks for a pause gets no request until it is over, also with many queued and after success of an earlier one', t => {
	const fixture = startLookup(5);
	const {timers, serverHealth, backpressure, dependencies, directory, load} = fixture;
	const server = directory.usable('records')[0];
	const start = () => {
		new PlainExchange(dependencies, fixture.createRequest(lookupRoute), fixture.reply, {
			selector: new PlainServerSelector({
				directory, serverHealth, backpressure, load, random: new RandomSource(seed()),
			}),
			computeConnectionShare: () => 5,
			limits: {maxBufferedBytes: 1000, responseTimeoutFraction: 0.8},
		}).start(() => undefined);
	};

	fixture.latest.onHead({
		...sampleResponseHead, status: 503, isNotExecuted: true, pause: 3000,
	});
	fixture.latest.onEnd();
	const sentBefore = fixture.sent.length;
	serverHealth.clearSuspicion(server, timers.now());
	for (let step = 0; step < 29; step++) {
		timers.advance(100);
		start();
	}

	t.is(fixture.sent.length, sentBefore);
	timers.advance(200);
	start();
	t.is(fixture.sent.length, sentBefore + 1);
});

test('a pause is bounded, and a new incarnation of the server starts without it', t => {
	const {backpressure: {pauses}} = new ExchangeFixture();
	const server = sampleServer('a', '');
	pauses.pause(server, 1e12, 0);
	t.true(pauses.isPaused(server, 59_999));
	t.false(pauses.isPaused(server, 60_000));
	t.false(pauses.isPaused({...server, startedAt: 2}, 0));
});

test('a rejection whose body has no end is handled without waiting for it', t => {
	const fixture = startLookup(5);
	const first = fixture.latest;
	first.onHead({...sampleResponseHead, status: 503, isNotExecuted: true});
	for (let count = 0; count < 100 && fixture.sent.length === 1 && !fixture.reply.failure; count++) {
		first.onData(new Uint8Array(100));
	}

	t.true(fixture.sent.length > 1 || fixture.reply.failure?.execution === Execution.NotRun);
});

// Guards against lookups that are cancelled at a server that may still answer, before it is known that another one can be used.
test('a lookup without a response moves to another server only if that one can be used', t => {
	for (const isSuspected of [true, false]) {
		const kept = startLookup(1, ['a', 'b']);
		const other = kept.directory.all().find(({id}) => id !== kept.sent[0].attempt.server.id)!;
		if (isSuspected) {
			kept.serverHealth.suspect(other, 'it does not respond', 0, SuspicionCause.Unresponsive);
		} else {
			kept.load.start([{server: other, range: {from: 0, to: 0}}], 0);
		}

		kept.timers.advance(1000);
		t.is(kept.cancelCount, 0);
		kept.latest.onHead({...sampleResponseHead, status: 200});
		kept.latest.onEnd();
		t.true(kept.reply.isEnded);
	}

	const moved = startLookup(5, ['a', 'b']);
	moved.timers.advance(1000);
	t.is(moved.sent.length, 2);
	t.not(moved.sent[0].attempt.server.id, moved.sent[1].attempt.server.id);
});

// Guards against lookups that are refused although a limited server is going to accept them in time, or that wait although it is not.
test('a lookup waits for the limit of its server if that allows it in time, and is refused at once with the delay otherwise', t => {
	const exhaustLimit = (perSecond: number) => {
		const fixture = startLookup(5);
		const {timers, backpressure, directory} = fixture;
		const [server] = directory.usable('records');
		backpressure.limits.observe(server, {perSecond, sentAt: 0}, 0);
		while (backpressure.limits.allows(server, 0)) {
			backpressure.limits.recordRequest(server, 0);
		}

		fixture.latest.onHead({
			...sampleResponseHead, status: 503, isNotExecuted: true, requestLimit: perSecond,
		});
		fixture.latest.onEnd();
		const attempts = fixture.sent.length;
		timers.advance(backpressure.limits.computeDelay(server, 0));
		return {failure: fixture.reply.failure, attempts, lateAttempts: fixture.sent.length - attempts};
	};

	const waiting = exhaustLimit(4);
	t.is(waiting.failure, undefined);
	t.is(waiting.attempts, 1);
	t.is(waiting.lateAttempts, 1);
	const refused = exhaustLimit(0.3);
	t.is(refused.failure?.execution, Execution.NotRun);
	t.true(refused.failure!.retryAfterSeconds! > 1);
	t.is(refused.lateAttempts, 0);
});

test('a lookup that waits for the limit of a server goes to another one if that server leaves', t => {
	const fixture = startLookup(5);
	const {timers, backpressure, directory} = fixture;
	const [server] = directory.usable('records');
	backpressure.limits.observe(server, {perSecond: 4, sentAt: 0}, 0);
	while (backpressure.limits.allows(server, 0)) {
		backpressure.limits.recordRequest(server, 0);
	}

	fixture.latest.onHead({
		...sampleResponseHead, status: 503, isNotExecuted: true, requestLimit: 4,
	});
	fixture.latest.onEnd();
	directory.applyReading({servers: [sampleServer('other', '', undefined, {service: 'records'})], requestedAt: 1, mayBeIncomplete: false});
	timers.advance(500);
	t.is(fixture.sent.at(-1)?.attempt.server.id, 'other');
});
