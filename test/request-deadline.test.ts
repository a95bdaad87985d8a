import test from 'ava';
import {computeDeadline} from '../src/entry/request-deadline.js';
import {ResultCode} from '../src/results/result-code.js';
import {sampleResponseHead} from './support/exchange-fixture.js';
import {
	drafts, EntryExchangeFixture, lookups, records, routeTimeout,
} from './support/entry-exchange-fixture.js';

/** Shorter than the route's timeout. */
const patience = 900;
/** Time that a reply takes to its caller, in milliseconds. */
const wayBackMs = 20;

// Guards against replies that cross the leaving of their callers: what ends at the caller's own deadline must end somewhat before it.
for (const path of [lookups, records, drafts]) {
	test(`a request that is silent until its caller gives up is answered before that: ${path}`, async t => {
		const fixture = await EntryExchangeFixture.start(t);
		const {received} = await fixture.send(path, patience);
		const {attempt} = fixture.sent[0];
		t.true(attempt.remaining > patience * 0.9 && attempt.remaining <= patience);
		fixture.timers.advance(patience - wayBackMs);
		t.is(fixture.exchanges.size, 0);
		const {status, text} = await received;
		t.is(status, 504);
		t.regex(text, /"execution":"unknown"/v);
	});
}

// Guards against the same crossing by the refusal of a stream that has waited in the queue.
test('a stream that is queued until its caller gives up is refused before that, as not run', async t => {
	const fixture = await EntryExchangeFixture.start(t);
	fixture.pipeline = undefined;
	const {received} = await fixture.send(drafts, patience);
	fixture.timers.advance(patience - wayBackMs);
	t.is(fixture.exchanges.size, 0);
	const {status, text} = await received;
	t.is(status, 503);
	t.regex(text, /"execution":"not_run"/v);
});

// Guards against the same crossing by an answer that was kept in hand until the deadline.
test('an answer in hand is passed on before its caller gives up', async t => {
	const fixture = await EntryExchangeFixture.start(t);
	const {directory} = fixture;
	directory.applyReading({
		servers: [...directory.all(), {...directory.all()[0], id: 'second', address: '10.0.0.1:9000'}], requestedAt: 1, mayBeIncomplete: false,
	});
	const {received} = await fixture.send(lookups, patience);
	fixture.timers.advance(patience / 2);
	t.is(fixture.sent.length, 2, 'a second attempt runs beside the silent one');
	fixture.sent[0].listener.onHead({...sampleResponseHead, status: 500});
	fixture.sent[0].listener.onEnd();
	fixture.timers.advance((patience / 2) - wayBackMs);
	t.is(fixture.exchanges.size, 0);
	const {status} = await received;
	t.is(status, 500);
});

test('a request that is silent until the timeout of its route fails exactly then', async t => {
	for (const callerPatience of [undefined, routeTimeout * 2]) {
		const fixture = await EntryExchangeFixture.start(t); // eslint-disable-line no-await-in-loop
		const {received} = await fixture.send(lookups, callerPatience); // eslint-disable-line no-await-in-loop
		fixture.timers.advance(routeTimeout - 1);
		t.is(fixture.exchanges.size, 1);
		fixture.timers.advance(1);
		t.is(fixture.exchanges.size, 0);
		const {status} = await received; // eslint-disable-line no-await-in-loop
		t.is(status, 504);
		t.like(fixture.log.lines.find(({kind}) => kind === 'request.failed')?.fields, {code: ResultCode.DeadlinePassed, afterMs: routeTimeout});
	}
});

test('the part of a caller\'s patience that is kept back is a few percent, and some tens of milliseconds at most', t => {
	for (const callerPatience of [0, 1, 50, 858, 5000, 60_000]) {
		const kept = callerPatience - computeDeadline(0, 100_000, callerPatience);
		t.true(kept >= 0 && kept <= callerPatience * 0.05 && kept <= 50, `${callerPatience} ms`);
	}

	t.is(computeDeadline(10, 500, 60_000), 510);
	t.is(computeDeadline(10, 500), 510);
});
