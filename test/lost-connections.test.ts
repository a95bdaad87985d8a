import test from 'ava';
import {SuspicionCause} from '../src/pipelines/suspicion-cause.js';
import {AttemptFailureReason} from '../src/relay/attempt-failure.js';
import {Execution} from '../src/results/execution.js';
import {ResultCode} from '../src/results/result-code.js';
import {sampleResponseHead, sampleStreamRoute, StreamExchangeFixture} from './support/exchange-fixture.js';
import {startLookup} from './support/lookup-fixture.js';
import {sampleServer} from './support/sample-fleet.js';

const range = {from: 0, to: 80};
const [first, second, third] = ['first', 'second', 'third'].map((id, index) => sampleServer(id, 'large', range, {address: `10.0.0.${index}:1`}));
const [firstPipeline, secondPipeline, thirdPipeline] = [first, second, third].map(server => [{server, range}]);
const connectionLost = {reason: AttemptFailureReason.ConnectionLost, detail: 'reset', wasConnectionReused: false};

/** Starts a stream on the first server. */
function startStream(maxExecutions = 2): StreamExchangeFixture {
	const fixture = new StreamExchangeFixture({...sampleStreamRoute, maxExecutions});
	fixture.pipeline = firstPipeline;
	fixture.start();
	return fixture;
}

/** Lets the current attempt pass on a number of events and lose its connection. */
function loseAfter(fixture: StreamExchangeFixture, events: number): void {
	fixture.latest.onHead(sampleResponseHead);
	const begin = fixture.sent.at(-1)!.attempt.lastEventId ?? 0;
	for (let id = begin + 1; id <= begin + events; id++) {
		fixture.latest.onData(new TextEncoder().encode(`id: ${id}\ndata: token\n\n`));
	}

	fixture.latest.onFailure(connectionLost);
}

function listServers({sent}: {readonly sent: StreamExchangeFixture['sent']}): readonly string[] {
	return sent.map(({attempt: {server: {id, startedAt}}}) => startedAt === first.startedAt ? id : `${id}@${startedAt}`);
}

// Guards against a stream that is held although no server may take it.
test('a stream whose route allows one server ends when that has lost two of its connections', t => {
	for (const events of [0, 1]) {
		const fixture = startStream(1);
		fixture.alternatives = [secondPipeline];
		loseAfter(fixture, events);
		loseAfter(fixture, 0);
		t.deepEqual(listServers(fixture), ['first', 'first']);
		t.true(fixture.reply.isAborted || fixture.reply.failure?.code === ResultCode.StreamInterrupted);
	}
});

// Guards against a sound stream that is cut because one living server closed two of its connections.
test('a stream that lost two connections of one server goes on at another one', t => {
	const fixture = startStream();
	loseAfter(fixture, 11);
	fixture.timers.advance(74);
	loseAfter(fixture, 0);
	t.false(fixture.reply.isAborted);
	fixture.pipeline = secondPipeline;
	fixture.timers.advance(40);
	t.deepEqual(listServers(fixture), ['first', 'first', 'second']);
	t.is(fixture.sent[2].attempt.lastEventId, 11);
	fixture.latest.onHead(sampleResponseHead);
	fixture.latest.onData(new TextEncoder().encode('id: 12\ndata: last\n\n'));
	fixture.latest.onEnd();
	t.true(fixture.reply.isEnded);
	t.is(fixture.reply.text.match(/^id: /gmv)?.length, 12);
});

// Guards against a request that is sent without end to a server that closes each of its connections.
test('a stream is not sent to a server again that lost two of its connections', t => {
	for (const maxExecutions of [1, 2, 4]) {
		const fixture = startStream(maxExecutions);
		loseAfter(fixture, 1);
		loseAfter(fixture, 0);
		fixture.timers.advance(20_000);
		t.deepEqual(listServers(fixture), ['first', 'first']);
		t.true(fixture.reply.isAborted);
	}
});

// Guards against a request that crashes one server after the other, the next one behind a connection that was only lost.
test('a stream that lost two servers is not sent to a third, however many connections of each it lost', t => {
	const fixture = startStream(4);
	loseAfter(fixture, 1);
	loseAfter(fixture, 0);
	fixture.pipeline = secondPipeline;
	fixture.alternatives = [thirdPipeline];
	fixture.timers.advance(40);
	loseAfter(fixture, 0);
	t.deepEqual(listServers(fixture), ['first', 'first', 'second']);
	t.true(fixture.reply.isAborted);
});

// Guards against a request that crashes a server each time that the server is back.
test('a later incarnation of a server that a stream lost counts as another server', t => {
	const fixture = startStream(4);
	loseAfter(fixture, 0);
	loseAfter(fixture, 0);
	t.is(fixture.reply.failure, undefined);
	fixture.pipeline = [{server: {...first, startedAt: first.startedAt + 1}, range}];
	fixture.timers.advance(40);
	loseAfter(fixture, 0);
	t.deepEqual(listServers(fixture), ['first', 'first', `first@${first.startedAt + 1}`]);
	t.is(fixture.reply.failure?.code, ResultCode.StreamInterrupted);
	t.is(fixture.reply.failure?.execution, Execution.Unknown);
});

// Guards against a request that crashes a server, and its successor at the same address before that is listed.
test('two connections that a stream lost at the address of a server that has ended count as two servers', t => {
	const fixture = startStream(4);
	loseAfter(fixture, 0);
	fixture.serverHealth.suspect(first, 'connection refused', fixture.timers.now(), SuspicionCause.Refusing);
	loseAfter(fixture, 0);
	t.deepEqual(listServers(fixture), ['first', 'first']);
	t.is(fixture.reply.failure?.code, ResultCode.StreamInterrupted);
});

// Guards against a sound stream that is cut because two living servers closed one of its connections each.
test('a stream goes on at a third server if the first one has reported since that it is running, and ends with the third loss', t => {
	const fixture = startStream(4);
	fixture.alternatives = [secondPipeline, thirdPipeline];
	loseAfter(fixture, 11);
	fixture.serverHealth.recordReport(first, first.startedAt, fixture.timers.now());
	fixture.timers.advance(74);
	loseAfter(fixture, 0);
	t.deepEqual(listServers(fixture), ['first', 'second', 'third']);
	fixture.serverHealth.recordReport(second, second.startedAt, fixture.timers.now());
	fixture.timers.advance(74);
	loseAfter(fixture, 0);
	t.is(fixture.sent.length, 3);
	t.true(fixture.reply.isAborted);
});

// Guards against a request that crashes one server after the other, each of which is taken for a living one.
test('a report counts only if it is of the incarnation that lost the connection, and asked for since then', t => {
	for (const [startedAt, delay] of [[first.startedAt + 1, 0], [undefined, 0], [first.startedAt, -1]] as const) {
		const fixture = startStream(4);
		fixture.alternatives = [secondPipeline, thirdPipeline];
		fixture.timers.advance(10);
		loseAfter(fixture, 1);
		fixture.serverHealth.recordReport(first, startedAt, fixture.timers.now() + delay);
		loseAfter(fixture, 0);
		t.deepEqual(listServers(fixture), ['first', 'second']);
		t.true(fixture.reply.isAborted);
	}
});

// Guards against the sign of life of a server that has ended since.
test('a server that has ended counts, although it had reported after the loss', t => {
	const fixture = startStream(4);
	fixture.alternatives = [secondPipeline, thirdPipeline];
	loseAfter(fixture, 1);
	fixture.serverHealth.recordReport(first, first.startedAt, fixture.timers.now());
	fixture.serverHealth.suspect(first, 'connection refused', fixture.timers.now(), SuspicionCause.Refusing);
	loseAfter(fixture, 0);
	t.is(fixture.sent.length, 2);
	t.true(fixture.reply.isAborted);
});

/** How an attempt can fail after it was sent, with the server alive. */
const failures: ReadonlyArray<[title: string, fail: (fixture: StreamExchangeFixture) => void]> = [
	['lost before an event', fixture => {
		fixture.latest.onFailure(connectionLost);
	}],
	['lost after events', fixture => {
		loseAfter(fixture, 3);
	}],
	['ended within an event', fixture => {
		fixture.latest.onHead({...sampleResponseHead, isSelfDelimited: false});
		fixture.latest.onData(new TextEncoder().encode('id: 1\ndata: to'));
		fixture.latest.onEnd();
	}],
	['answered with an error', fixture => {
		fixture.latest.onHead({...sampleResponseHead, status: 500});
		fixture.latest.onEnd();
	}],
	['answered for another request', fixture => {
		fixture.latest.onFailure({reason: AttemptFailureReason.InvalidResponse, detail: 'the response belongs to another request', wasConnectionReused: true});
	}],
];

for (const [title, fail] of failures) {
	// Guards against a stream that is sent again to the first stage that has just failed it, where others are free.
	test(`a stream whose attempt was ${title} goes on at another first stage, and at the same one if there is no other`, t => {
		const fixture = startStream();
		fixture.alternatives = [secondPipeline];
		fail(fixture);
		t.deepEqual(listServers(fixture), ['first', 'second']);

		const alone = startStream();
		fail(alone);
		t.deepEqual(listServers(alone), ['first', 'first']);

		const limited = startStream(1);
		limited.alternatives = [secondPipeline];
		fail(limited);
		t.deepEqual(listServers(limited).slice(1), title.includes('error') ? [] : ['first'], 'the route allows one server');
	});
}

// Guards against a stream that goes back and forth to the server that failed last, where its route allows one that failed before.
test('a stream that may use no further server goes back to the one that failed first', t => {
	const fixture = startStream();
	fixture.alternatives = [secondPipeline, thirdPipeline];
	for (let losses = 0; losses < 4; losses++) {
		fixture.latest.onHead(sampleResponseHead);
		const id = (2 * losses) + 1;
		fixture.latest.onData(new TextEncoder().encode(`id: ${id}\ndata: token\n\n`));
		fixture.timers.advance(500);
		fixture.latest.onData(new TextEncoder().encode(`id: ${id + 1}\ndata: token\n\n`));
		fixture.latest.onFailure(connectionLost);
	}

	t.deepEqual(listServers(fixture), ['first', 'second', 'first', 'second', 'first']);
});

// Guards against a silent stream that stays where it is, since the only other server that its route allows failed it before.
test('a silent stream is sent to a first stage that failed it before if there is no other', t => {
	const fixture = startStream();
	fixture.alternatives = [secondPipeline, thirdPipeline];
	fixture.latest.onFailure(connectionLost);
	fixture.exchange.hedge(undefined, 'no event');
	t.deepEqual(listServers(fixture), ['first', 'second', 'first']);
});

// Guards against a sound lookup that fails because one living server closed two of its connections.
test('a lookup that lost two connections of one server goes on at another one, and not at that one', t => {
	const fixture = startLookup(5, ['a'], 4);
	fixture.latest.onFailure(connectionLost);
	t.is(fixture.sent.length, 2);
	const servers = ['a', 'b'].map(id => sampleServer(id, '', undefined, {service: 'records'}));
	fixture.directory.applyReading({servers, requestedAt: 1, mayBeIncomplete: false});
	fixture.latest.onFailure(connectionLost);
	t.deepEqual(fixture.sent.map(({attempt}) => attempt.server.id), ['a', 'a', 'b']);
	fixture.latest.onFailure(connectionLost);
	t.is(fixture.sent.length, 3, 'it lost two servers');
	t.is(fixture.reply.failure?.execution, Execution.Unknown);

	const alone = startLookup(5, ['a'], 4);
	alone.latest.onFailure(connectionLost);
	alone.latest.onFailure(connectionLost);
	t.is(alone.sent.length, 2);
	t.is(alone.reply.failure?.execution, Execution.Unknown);
});
