import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {InputScheduler} from '../src/network/input-scheduler.js';
import {findSlice} from '../src/network/input-slice.js';
import {InputSource} from '../src/network/input-source.js';
import {planMemory} from '../src/network/memory-plan.js';
import {chooseUnread} from '../src/network/unread-replies.js';

const readBytes = 65_536;
const limits = {turnWork: 1000, heldBytes: 262_144};
const sliceBytes = 1024;
const sliceWork = 100;

/** A connection whose input a test delivers. */
class FakeSource extends InputSource {
	heldBytes = 0;
	work = 0;
	isReady = true;
	isReading = true;
	blockedBytes = 0;
	hasCompleted = false;
	hasBegun = false;

	constructor(private readonly totals: {work: number}) {
		super();
	}

	advance(): number {
		this.heldBytes -= Math.min(this.heldBytes, sliceBytes);
		this.work += sliceWork;
		this.totals.work += sliceWork;
		return sliceWork;
	}

	stopReading(): void {
		this.isReading = false;
	}

	startReading(): void {
		this.isReading = true;
	}

	setBlocked(isBlocked: boolean): void {
		this.blockedBytes = isBlocked ? this.heldBytes : 0;
	}
}

/** An event loop: a poll in which connections that are read deliver what they have, and what was deferred. */
class FakeLoop {
	readonly totals = {work: 0};
	readonly scheduler = new InputScheduler(limits, callback => {
		this.deferred.push(callback);
	});

	readonly unread = new Map<FakeSource, number>();
	private readonly deferred: Array<() => void> = [];

	open(bytes: number): FakeSource {
		const source = new FakeSource(this.totals);
		this.unread.set(source, bytes);
		this.scheduler.add(source);
		return source;
	}

	/** Runs a turn; returns the work done in it. */
	turn(): number {
		this.totals.work = 0;
		for (const [source, bytes] of this.unread) {
			if (source.isReading && bytes > 0) {
				const read = Math.min(bytes, readBytes);
				this.unread.set(source, bytes - read);
				source.heldBytes += read;
				source.hasBegun = true;
				source.isReading = this.scheduler.receive(source);
			}
		}

		for (const callback of this.deferred.splice(0)) {
			callback();
		}

		return this.totals.work;
	}

	isDone(source: FakeSource): boolean {
		return this.unread.get(source) === 0 && source.heldBytes === 0;
	}
}

// Guards against turns of the event loop that last for seconds because many connections have input at once.
test('whatever arrives, a turn has a bounded share of the work and a bounded number of bytes waits; all is handled in the end', t => {
	fc.assert(fc.property(fc.array(fc.nat(300_000), {minLength: 1, maxLength: 60}), sizes => {
		const loop = new FakeLoop();
		const sources = sizes.map(bytes => loop.open(bytes));
		let turns = 0;
		while (!sources.every(source => loop.isDone(source)) && turns < 100_000) {
			t.true(loop.turn() <= (limits.turnWork * 1.5) + (2 * sliceWork));
			t.true(loop.scheduler.heldBytes <= (2 * limits.heldBytes) + readBytes);
			turns++;
		}

		t.true(sources.every(source => loop.isDone(source)));
		loop.turn();
		loop.turn();
		t.is(loop.scheduler.heldBytes, 0);
		t.true(sources.every(({isReading}) => isReading));
	}), {seed: 1, numRuns: 50});
});

for (const isKept of [true, false]) {
	// Guards against ordinary requests that wait until all that a crowd has sent is parsed.
	test(`input on ${isKept ? 'a connection that has completed requests' : 'a new connection'} comes before that of a crowd`, t => {
		const loop = new FakeLoop();
		const kept = loop.open(0);
		kept.hasBegun = true;
		kept.hasCompleted = true;
		for (let index = 0; index < 100; index++) {
			loop.open(1_000_000);
		}

		for (let turn = 0; turn < 300; turn++) {
			loop.turn();
		}

		const ordinary = isKept ? kept : loop.open(500);
		loop.unread.set(ordinary, 500);
		let turns = 0;
		while (!loop.isDone(ordinary)) {
			loop.turn();
			turns++;
		}

		t.true(turns <= 10, `${turns} turns`);
	});
}

// Guards against connections whose input can't be parsed that keep all others from being read.
test('connections that are blocked stop no others, and their bytes count as memory', t => {
	const loop = new FakeLoop();
	const blocked = Array.from({length: 20}, () => loop.open(readBytes));
	for (const source of blocked) {
		source.isReady = false;
	}

	loop.turn();
	t.is(blocked.reduce((sum, {blockedBytes}) => sum + blockedBytes, 0), 20 * readBytes);
	const ordinary = loop.open(500);
	loop.turn();
	t.true(loop.isDone(ordinary));
	blocked[0].isReady = true;
	loop.scheduler.proceed(blocked[0]);
	for (let turn = 0; turn < 20; turn++) {
		loop.turn();
	}

	t.true(loop.isDone(blocked[0]));
	t.is(blocked[0].blockedBytes, 0);
	t.is(blocked[1].heldBytes, readBytes);
});

// Guards against bytes that are parsed twice or not at all, and against several requests in one step.
test('slices cover the input once, and none has the ends of two heads', t => {
	fc.assert(fc.property(fc.array(fc.constantFrom('\r\n\r\n', 'a', 'b: c\r\n', 'x'.repeat(5000)), {maxLength: 60}), parts => {
		const bytes = Buffer.from(parts.join(''));
		const slices = [];
		for (let offset = 0; offset < bytes.length; offset += slices.at(-1)!.bytes.length) {
			slices.push(findSlice(bytes, offset));
		}

		t.is(Buffer.concat(slices.map(slice => slice.bytes)).compare(bytes), 0);
		t.true(slices.every(slice => slice.bytes.length <= 4096 && Buffer.from(slice.bytes).toString('latin1').split('\r\n\r\n').length <= 2));
		t.is(slices.reduce((sum, {lines}) => sum + lines, 0), bytes.toString('latin1').split('\n').length - 1);
	}), {seed: 1});
});

// Guards against processes that promise more memory to callers than their machine has.
test('what callers may occupy fits into the memory, and a large machine is bounded by its descriptors', t => {
	const baseMemory = 76_000_000;
	for (const memory of [112_000_000, 160_000_000, 202_000_000, 350_000_000, 602_000_000]) {
		const plan = planMemory({memory, baseMemory, descriptors: 4100});
		t.true(plan.requestBytes + (plan.connections * 16_384) + plan.heldBytes + plan.unsentBytes < memory - baseMemory, `${memory} bytes`);
	}

	t.is(planMemory({memory: 602_000_000, baseMemory, descriptors: 4100}).connections, 1950);
});

// Guards against replies that nobody reads and that fill the memory, and against ordinary callers who are closed in their place.
test('of the replies that are not read, the largest give way', t => {
	const connections = [300, 0, 900, 100].map(unsentBytes => ({unsentBytes}));
	t.deepEqual(chooseUnread(connections, 1300), []);
	t.deepEqual(chooseUnread(connections, 1000), [connections[2]]);
	t.deepEqual(chooseUnread(connections, 200), [connections[2], connections[0]]);
});
