import test from 'ava';
import fc from 'fast-check';
import {EventSequence} from '../src/relay/streams/event-sequence.js';
import {PassedEvents} from '../src/relay/streams/passed-events.js';
import {type ServerSentEvent} from '../src/relay/streams/event-splitter.js';
import {AttemptFailureReason} from '../src/relay/attempt-failure.js';
import {RouterProcess} from './support/router-process.js';
import {sampleResponseHead, sampleStreamRoute, StreamExchangeFixture} from './support/exchange-fixture.js';
import {sampleServer} from './support/sample-fleet.js';
import {seed} from './support/seed.js';

const range = {from: 0, to: 80};
const eventCount = 20;
const pieces = Array.from({length: eventCount}, (_, index) => index + 1);
const encoder = new TextEncoder();

/** Returns one event of a stream, whose id is usually the number of its piece. */
function formatEvent(piece: number, id: number | string = piece): string {
	return `id: ${id}\ndata: piece ${piece}\n\n`;
}

function getPieces(text: string): number[] {
	return [...text.matchAll(/piece (?<piece>\d+)$/gmv)].map(({groups}) => Number(groups!.piece));
}

/** A stream of which the first server sends the events that a test gives it. Later servers are sound. */
class StreamFixture extends StreamExchangeFixture {
	constructor(isResumable = true) {
		super({...sampleStreamRoute, isResumable});
		this.pipeline = [{server: sampleServer('first', 'large', range), range}];
		this.start();
	}

	/** Receives the events one by one, until the exchange sends the request elsewhere or ends it. */
	receive(events: readonly string[], isSelfDelimited = true): void {
		const attempts = this.sent.length;
		const {latest} = this;
		const id = `server-${attempts}`;
		this.pipeline = [{server: sampleServer(id, 'large', range, {address: `${id}:1`}), range}];
		latest.onHead({...sampleResponseHead, isSelfDelimited});
		for (const event of events) {
			if (this.sent.length === attempts && !this.exchange.isDone) {
				latest.onData(encoder.encode(event));
			}
		}

		if (this.sent.length === attempts && !this.exchange.isDone) {
			latest.onEnd();
		}
	}

	/** Lets the sound server answer the attempts that are still open. */
	answerSoundly(): void {
		if (!this.exchange.isDone) {
			this.receive(pieces.slice(this.sent.at(-1)!.attempt.lastEventId ?? 0).map(piece => formatEvent(piece)));
		}
	}
}

for (const isSelfDelimited of [true, false]) {
	for (const wrongId of [52, 2, 12, 10, '02', 14, 0]) {
		// Guards against a stream that ends as complete although its caller lacks events, because the events after a wrong id were taken for repetitions.
		test(`a wrong id ${wrongId} of one event: the caller gets every piece once (${isSelfDelimited ? 'with' : 'without'} a length)`, t => {
			for (const spoilt of pieces) {
				const fixture = new StreamFixture();
				fixture.receive(pieces.map(piece => formatEvent(piece, piece === spoilt ? wrongId : piece)), isSelfDelimited);
				fixture.answerSoundly();
				t.deepEqual(getPieces(fixture.reply.text), pieces, `piece ${spoilt}`);
				t.true(fixture.reply.isEnded);
			}
		});
	}
}

// Guards against a stream that ends as complete without the events behind a wrong id where no other server may continue it.
test('a wrong id in a stream that can not be resumed never ends it as complete without all pieces', t => {
	for (const spoilt of pieces) {
		for (const wrongId of [52, 2, 10]) {
			const fixture = new StreamFixture(false);
			fixture.receive(pieces.map(piece => formatEvent(piece, piece === spoilt ? wrongId : piece)));
			const received = getPieces(fixture.reply.text);
			t.deepEqual(received, pieces.slice(0, received.length));
			t.is(fixture.reply.isEnded, received.length === eventCount, `piece ${spoilt}`);
			t.not(fixture.reply.isEnded, fixture.reply.isAborted || fixture.reply.failure !== undefined);
		}
	}
});

// Guards against a caller that resumes behind events it never got: it received an id that was too high.
test('a caller whose stream breaks off behind a wrong id has received only ids up to the last sound event', t => {
	const fixture = new StreamFixture(false);
	fixture.receive([...pieces.slice(0, 11).map(piece => formatEvent(piece)), formatEvent(12, 52), formatEvent(13)]);
	t.deepEqual(getPieces(fixture.reply.text), pieces.slice(0, 11));
	t.true(fixture.reply.isAborted);
});

// Guards against a wrong id in a resumed run, where lower ids are repetitions.
test('a wrong id in a resumed run: the caller gets every piece once', t => {
	for (const first of [1, 4, 9]) {
		for (const spoilt of pieces.slice(first)) {
			for (const wrongId of [52, 2, 3]) {
				const fixture = new StreamFixture();
				fixture.latest.onHead(sampleResponseHead);
				fixture.latest.onData(encoder.encode(pieces.slice(0, 8).map(piece => formatEvent(piece)).join('')));
				fixture.latest.onFailure({reason: AttemptFailureReason.ConnectionLost, detail: 'socket hang up', wasConnectionReused: false});
				fixture.receive(pieces.slice(first - 1).map(piece => formatEvent(piece, piece === spoilt ? wrongId : piece)));
				fixture.answerSoundly();
				t.deepEqual(getPieces(fixture.reply.text), pieces, `piece ${spoilt} as ${wrongId}, from ${first}`);
				t.true(fixture.reply.isEnded);
			}
		}
	}
});

// Guards against sound streams that are delayed or refused, since ids need only increase.
test('ids that skip are passed on whole, at once after the first skip, and to the end', t => {
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 50}), {minLength: 1, maxLength: 40}), steps => {
		const sequence = new EventSequence(new PassedEvents(undefined));
		let id = 0;
		let skips = 0;
		const events: ServerSentEvent[] = steps.map(step => {
			id += step;
			return {id, bytes: encoder.encode(formatEvent(id))};
		});
		const passed = events.flatMap(event => {
			const before = sequence.isHolding;
			const released = sequence.add(event);
			skips += !before && sequence.isHolding ? 1 : 0;
			return released;
		});
		t.deepEqual([...passed, ...sequence.release()].map(event => event.id), events.map(event => event.id));
		t.true(skips <= 1);
	}), {seed: seed()});
});

test('a wrong id among ids that skip ends the stream as incomplete', t => {
	const fixture = new StreamFixture();
	fixture.receive([10, 20, 30, 95, 50].map((id, index) => formatEvent(index + 1, id)));
	t.deepEqual(getPieces(fixture.reply.text), [1, 2, 3, 4]);
	t.false(fixture.reply.isEnded);
	t.true(fixture.reply.isAborted);
	t.is(fixture.sent.length, 1);
});

// Guards against memory that grows with a response that never shows whether the held event is in order.
test('events without ids behind a held event are held in a bounded number', t => {
	const sequence = new EventSequence(new PassedEvents(1));
	sequence.add({id: 9, bytes: encoder.encode(formatEvent(9))});
	for (let count = 0; count < 100; count++) {
		t.deepEqual(sequence.add({bytes: encoder.encode(': pause\n\n')}), []);
	}

	t.true(sequence.isDisordered);
	t.true(sequence.release().length < 20);
});

test.serial('a wrong id on the wire: the caller of a router gets the whole stream', async t => {
	const router = await RouterProcess.start();
	t.teardown(async () => router.stop());
	for (const {behaviour} of router.stages) {
		behaviour.events = 9;
	}

	const [{behaviour}] = router.stages;
	behaviour.wrongEventId = {event: 4, id: 8};
	const ids = Array.from({length: 9}, (_, index) => `${index + 1}`);
	for (let count = 0; behaviour.wrongEventId && count < 40; count++) {
		const {status, text, isComplete} = await router.send('/drafts/a'); // eslint-disable-line no-await-in-loop
		t.is(status, 200);
		t.true(isComplete);
		t.deepEqual([...text.matchAll(/^id: (?<id>.*)$/gmv)].map(({groups}) => groups!.id), ids);
		t.deepEqual([...text.matchAll(/^data: token (?<token>.*)$/gmv)].map(({groups}) => groups!.token), ids);
	}

	t.true(router.logLines.some(line => line.includes('request.event_held')));
});
