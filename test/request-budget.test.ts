import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {BlockBuffer} from '../src/network/block-buffer.js';
import {BlockPool} from '../src/network/block-pool.js';
import {RequestBudget, MemoryClaim} from '../src/network/request-budget.js';
import {RequestRefusal} from '../src/network/request-refusal.js';
import {EntryFixture} from './support/entry-fixture.js';

function addClaim(budget: RequestBudget, bytes: number, startedAt: number): MemoryClaim {
	const claim = new MemoryClaim(startedAt, () => undefined);
	budget.add(claim);
	claim.progress.add(bytes, startedAt);
	budget.resize(claim, bytes, startedAt);
	return claim;
}

// Guards against ordinary requests that are refused in place of those that use up the memory.
test('when the budget is short, slow bodies are refused first, then the largest', t => {
	const budget = new RequestBudget(1000);
	const slow = addClaim(budget, 100, 0);
	const large = addClaim(budget, 600, 5000);
	const small = addClaim(budget, 200, 5000);
	t.deepEqual(budget.resize(small, 250, 5000), []);
	t.deepEqual(budget.resize(small, 350, 5000), [{claim: slow, refusal: RequestRefusal.Slow}]);
	budget.release(slow);
	t.deepEqual(budget.resize(small, 450, 5000), [{claim: large, refusal: RequestRefusal.Memory}]);
	budget.release(large);
	budget.finish(small);
	const newest = addClaim(budget, 100, 6000);
	t.deepEqual(budget.resize(newest, 700, 6000), [{claim: newest, refusal: RequestRefusal.Memory}], 'a complete body is not refused');
});

// Guards against slow but steady bodies that are refused although nobody needs their memory.
test('a slow body is refused when memory is scarce only, a stalled one always', t => {
	const budget = new RequestBudget(1000);
	const slow = addClaim(budget, 10, 0);
	for (let now = 1000; now <= 20_000; now += 1000) {
		slow.progress.add(1, now);
		t.deepEqual(budget.findSlow(now), []);
	}

	addClaim(budget, 600, 20_000);
	t.deepEqual(budget.findSlow(20_000), [{claim: slow, refusal: RequestRefusal.Slow}]);
	t.like(budget.findSlow(30_000), [{claim: slow, refusal: RequestRefusal.Stalled}]);
});

// Guards against bytes that are lost or reordered between blocks, and against capacity that is not counted.
test('the bytes of a body are kept whatever its pieces and its announced length', t => {
	fc.assert(fc.property(fc.array(fc.nat(100_000), {maxLength: 12}), fc.option(fc.nat(400_000), {nil: undefined}), (sizes, announced) => {
		const buffer = new BlockBuffer(new BlockPool(1_000_000), announced);
		const pieces = sizes.map((size, index) => Buffer.alloc(size, index + 1));
		for (const piece of pieces) {
			const capacity = buffer.computeCapacity(piece.length);
			buffer.append(piece);
			t.is(buffer.computeCapacity(0), capacity);
			t.true(capacity < buffer.length + 65_536 + 1);
		}

		t.is(Buffer.compare(buffer.take(), Buffer.concat(pieces)), 0);
	}), {seed: 1});
});

for (const chunkBytes of [1, 7, 65_536]) {
	// Guards against limits for crowds of callers that a single request inside the limits of the configuration meets.
	test.serial(`a single body up to the limit in chunks of ${chunkBytes} bytes is received`, async t => {
		const entry = await EntryFixture.start(t, {
			answer(reply) {
				reply.begin(204, []);
				reply.end();
			},
		});
		const chunks = Math.floor(262_144 / chunkBytes);
		entry.server.setLimits({...EntryFixture.limits, maxBodyBytes: 262_144});
		const caller = await entry.connect();
		caller.socket.write('POST /drafts/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n');
		caller.socket.write(`${`${chunkBytes.toString(16)}\r\n${'#'.repeat(chunkBytes)}\r\n`.repeat(chunks)}0\r\n\r\n`);
		await entry.waitUntil(() => caller.received !== '' || caller.isClosed);
		t.regex(caller.received, /^HTTP\/1\.1 204 /v);
	});
}
